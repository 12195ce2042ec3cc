#include "broken_answers.h"

namespace chestnut::test
{

namespace
{

std::string withStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + " Status\r\nContent-Length: 4\r\n\r\nbody";
}

}

const std::vector<broken_answer> CUT_HEADS{
    {"after the status line", "HTTP/1.1 200 OK\r\n"},
    {"in the name of a header", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"in the value of a header", "HTTP/1.1 200 OK\r\nContent-Length: 1"},
    {"after a header", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"},
    {"after a length of zero", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
    {"after the chunked coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"},
    {"in the blank line", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"},
    {"behind an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
    {"without a final answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
    {"in the status line", "HTTP/1.1 20"},
    {"after a header, with a reset", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", true},
};

const std::vector<broken_answer> INVALID_STATUSES{
    {"000", withStatus("000")}, {"001", withStatus("001")}, {"099", withStatus("099")}, {"101", withStatus("101")}, {"199", withStatus("199")},
    {"600", withStatus("600")}, {"700", withStatus("700")}, {"999", withStatus("999")}, {"20", withStatus("20")},   {"2000", withStatus("2000")},
};

std::vector<broken_answer> allBroken()
{
    std::vector<broken_answer> all = CUT_HEADS;
    all.insert(all.end(), INVALID_STATUSES.begin(), INVALID_STATUSES.end());
    return all;
}

server_script sending(const broken_answer &answer)
{
    return [answer](raw_connection &out, const raw_request &) {
        out.write(answer.bytes);
        if (answer.resets) {
            out.waitForClose(100); // the client reads the head before the reset
            out.reset();
        }
        return false;
    };
}

}
