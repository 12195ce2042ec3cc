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

const std::vector<broken_answer> INVALID_STATUSES{
    {"000", withStatus("000")}, {"001", withStatus("001")}, {"099", withStatus("099")}, {"101", withStatus("101")}, {"199", withStatus("199")},
    {"600", withStatus("600")}, {"700", withStatus("700")}, {"999", withStatus("999")}, {"20", withStatus("20")},   {"2000", withStatus("2000")},
};

std::vector<broken_answer> allBroken()
{
    return INVALID_STATUSES;
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
