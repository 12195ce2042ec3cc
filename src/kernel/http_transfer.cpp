#include "kernel/http_transfer.h"

#include "kernel/http_status.h"

#include <algorithm>
#include <strings.h>

namespace chestnut
{

namespace
{

constexpr long IDLE_CONNECTION_SECONDS = 20; // a keep-alive connection idle for longer is not reused
constexpr long STREAM_BUFFER_BYTES = 4096;   // receive buffer of a streamed answer, held by each open stream

long statusOf(CURL *easy)
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return status;
}

// Makes room for so many more bytes of the body. Returns false if the handler does not allow it.
bool growBody(http_transfer &one, std::size_t bytes)
{
    std::string &body = one.result.body;
    const std::size_t wanted = body.size() + bytes;
    if (!one.handler.mayGrow || wanted <= body.capacity()) {
        return true;
    }
    const std::size_t capacity = std::max(wanted, std::min(2 * body.capacity(), one.request.maxBodyBytes));
    if (!one.handler.mayGrow(capacity - body.capacity())) {
        return false;
    }
    std::string grown; // reserve() of a string in use may allocate more than it is asked for
    grown.reserve(capacity);
    grown.append(body);
    body.swap(grown);
    return true;
}

size_t writeBody(char *data, size_t size, size_t count, void *user)
{
    auto *self = static_cast<http_transfer *>(user);
    const std::string_view piece(data, size * count);
    if (self->aborted) {
        return piece.size();
    }
    self->lastByte = std::chrono::steady_clock::now();
    const long status = statusOf(self->easy);
    if (self->handler.onData && status >= 200 && status < 300) {
        self->handler.onData(static_cast<int>(status), piece);
        return piece.size();
    }
    if (self->result.body.size() + piece.size() > self->request.maxBodyBytes) {
        return 0; // libcurl then ends the transfer with an error
    }
    if (!growBody(*self, piece.size())) {
        return 0;
    }
    self->result.body.append(piece);
    return piece.size();
}

// Why the exchange did not complete; empty if it did. libcurl takes the end of the connection within a head for the end of the response.
std::string findError(const http_transfer &one, CURLcode code, int status)
{
    if (code != CURLE_OK) {
        return curl_easy_strerror(code);
    }
    if (!one.headComplete) {
        return "the connection ended within the head of the response";
    }
    return classifyStatus(status) == status_kind::final ? std::string() : "invalid status " + std::to_string(status);
}

// Notes where the head of a response begins and ends. No line of a trailer looks like the first one of a head.
void trackHead(http_transfer &one, std::string_view line)
{
    if (line.starts_with("HTTP/")) { // also behind an interim response
        one.headComplete = false;
    } else if (line == "\r\n" || line == "\n") {
        one.headComplete = true;
    }
}

// Returns the trimmed value if the line is the named header, else an empty view.
std::string_view headerValue(std::string_view line, std::string_view name)
{
    if (line.size() <= name.size() || line[name.size()] != ':' || strncasecmp(line.data(), name.data(), name.size()) != 0) {
        return {};
    }
    line.remove_prefix(name.size() + 1);
    const auto first = line.find_first_not_of(" \t");
    const auto last = line.find_last_not_of(" \t\r\n");
    return first == std::string_view::npos || last == std::string_view::npos ? std::string_view() : line.substr(first, last - first + 1);
}

size_t readHeader(char *data, size_t size, size_t count, void *user)
{
    auto *self = static_cast<http_transfer *>(user);
    const std::string_view line(data, size * count);
    self->lastByte = std::chrono::steady_clock::now();
    trackHead(*self, line);
    if (const auto value = headerValue(line, "Retry-After"); !value.empty()) {
        self->result.retryAfter = milliseconds(static_cast<long>(std::strtod(std::string(value).c_str(), nullptr) * 1000));
    }
    if (const auto value = headerValue(line, "Chestnutgw-Verdict"); !value.empty()) {
        self->result.verdictHeader = value;
    }
    if (const auto value = headerValue(line, "Content-Type"); !value.empty()) {
        self->result.contentType = value;
    }
    const std::string &reported = self->request.reportedHeader;
    if (const auto value = reported.empty() ? std::string_view() : headerValue(line, reported); !value.empty()) {
        self->result.reportedValues.emplace_back(value);
    }
    return line.size();
}

}

void applyOptions(http_transfer &one)
{
    const http_request &request = one.request;
    CURL *easy = one.easy;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    one.headers = curl_slist_append(one.headers, "Expect:"); // avoids the round trip of "Expect: 100-continue"
    for (const std::string &header : request.headers) {
        one.headers = curl_slist_append(one.headers, header.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, one.headers);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    if (one.handler.onData) {
        curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, STREAM_BUFFER_BYTES);
    }
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_SECONDS);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.singleUse ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.singleUse ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, writeBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &one);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, readHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &one);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &one);
}

void fillResult(http_transfer &one, CURLcode code)
{
    const int status = static_cast<int>(statusOf(one.easy));
    curl_off_t connectTime = 0;
    curl_off_t firstByteTime = 0;
    long connects = 0;
    curl_easy_getinfo(one.easy, CURLINFO_CONNECT_TIME_T, &connectTime);
    curl_easy_getinfo(one.easy, CURLINFO_STARTTRANSFER_TIME_T, &firstByteTime);
    curl_easy_getinfo(one.easy, CURLINFO_NUM_CONNECTS, &connects);
    // A reused connection reports no new connect, although it was established.
    one.result.connected = connectTime > 0 || status != 0 || (connects == 0 && code != CURLE_COULDNT_CONNECT);
    one.result.timedOut = code == CURLE_OPERATION_TIMEDOUT;
    one.result.responded = firstByteTime > 0 && code != CURLE_GOT_NOTHING; // libcurl also notes the time of an end without data
    one.result.error = findError(one, code, status);
    one.result.status = one.headComplete && classifyStatus(status) == status_kind::final ? status : 0;
}

}
