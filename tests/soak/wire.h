#pragma once

// HTTP/1.1 on blocking sockets, read byte by byte as its peer sends it, so that truncated, extra and late bytes stay visible.

#include "kernel/ids.h"
#include "kernel/scope.h"

#include <functional>
#include <map>
#include <string>

namespace chestnut::soak
{

// How reading a message ended.
enum class read_end
{
    complete,
    closed,    // end of the stream, before or within the message
    reset,     // TCP reset
    timed_out, // no byte for too long, or the time is over
    left,      // the reader did not want more
    malformed
};

const char *toText(read_end end);

struct http_message
{
    std::string start;                          // request line or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;                           // decoded
    bool begun = false;                         // at least one byte was received

    // Value of a header, given in lower case; empty if it is missing.
    std::string header(const std::string &name) const;
    int status() const;
    std::string target() const;
};

struct read_limits
{
    milliseconds gap{3'600'000};                      // longest time without a byte
    steady_time until = steady_time::max();           // reading ends then
    std::function<bool(const http_message &)> onData; // optional: called after each piece of the body; false = leave
};

class wire_socket
{
public:
    explicit wire_socket(unique_fd socket);
    // Connects to IP:port on loopback; connected() is false if that fails.
    static wire_socket connect(const std::string &address);

    bool connected() const;
    // Sends all bytes. Returns false if the peer has closed the connection.
    bool send(const std::string &bytes) const;
    // Reads one message; `answer` tells a response, whose body may end with the connection, from a request.
    read_end read(http_message &message, bool answer, const read_limits &limits = {});
    // Waits at most this long for the peer to close the connection. Bytes that arrive are kept for read().
    bool closedWithin(milliseconds limit);
    // Ends reads and writes of another thread.
    void interrupt() const;
    void close();
    // Makes close() and the destructor close the connection with a TCP reset.
    void resetOnClose() const;

private:
    read_end receive(const read_limits &limits);
    read_end readLine(std::string &line, const read_limits &limits);
    read_end readBytes(http_message &message, std::size_t count, const read_limits &limits);
    read_end readChunks(http_message &message, const read_limits &limits);

    unique_fd m_socket;
    std::string m_buffer;
};

// Listens on loopback; port 0 chooses a free one. The port is returned in `port`.
unique_fd listenOn(int &port);

std::string chunk(const std::string &bytes);

}
