#pragma once

// What the status of an HTTP response says about the response itself (RFC 9110, section 15).

namespace chestnut
{

enum class status_kind
{
    interim, // the response that counts follows on the same connection; has no body
    final,
    invalid, // no server may send it: it says nothing about the request, and the response is unusable
};

// 101 is invalid too: no request of ours asks for another protocol.
constexpr status_kind classifyStatus(int status)
{
    constexpr int SWITCHING_PROTOCOLS = 101;
    if (status < 100 || status > 599 || status == SWITCHING_PROTOCOLS) {
        return status_kind::invalid;
    }
    return status < 200 ? status_kind::interim : status_kind::final;
}

}
