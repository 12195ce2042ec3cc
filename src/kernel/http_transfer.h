#pragma once

// One HTTP transfer of the event loop: its libcurl handle, and the result that is filled while it runs.

#include "kernel/event_loop.h"

#include <curl/curl.h>

namespace chestnut
{

struct http_transfer
{
    transfer_id id = 0;            // key among the transfers of the loop
    CURL *easy = nullptr;          // owned
    curl_slist *headers = nullptr; // owned
    http_request request;          // owns the body, which libcurl does not copy
    transfer_handler handler;      // callbacks of the transfer
    http_result result;            // filled while the transfer runs
    bool headComplete = false;     // the head of the last response was received to its end
    steady_time lastByte;          // time of the last received byte
    timer_id idleTimer = 0;        // enforces request.idleTimeout
    timer_id totalTimer = 0;       // enforces request.totalTimeout
    bool aborted = false;          // callbacks are suppressed; removed at the end of the loop iteration

    ~http_transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }
};

// Passes the request and the callbacks to libcurl. The transfer must stay at its address from then on.
void applyOptions(http_transfer &one);
// Completes the result, once libcurl has ended the transfer with this code.
void fillResult(http_transfer &one, CURLcode code);

}
