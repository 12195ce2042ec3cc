#pragma once

// State of one chat request and of its attempts at the engines. Private to the files of pipeline_driver.

#include "entry/pipeline_driver.h"

namespace chestnut
{

// One attempt at the engines.
struct pipeline_driver::attempt_run
{
    attempt_number attempt;
    pipeline_chain chain;
    transfer_id transfer = 0; // 0 = none, the attempt has ended
    steady_time startedAt;
    bool anyToken = false; // received in this attempt

    bool isLive(attempt_number number) const
    {
        return transfer != 0 && attempt == number;
    }
};

// A request from its admission to its end.
struct pipeline_driver::request_state
{
    std::shared_ptr<http_call> call; // HTTP exchange with the client
    account_settings account;        // settings at the time of the request
    chat_request request;
    request_id id;
    std::unique_ptr<pipeline_session> session; // accepted tokens, kept across attempts
    attempt_run current;
    attempt_run second;            // runs beside a current attempt that has stalled, until one of the two goes on
    int failedSecondAttempts = 0;  // of the present stall
    steady_time nextSecondAttempt; // of the present stall
    bool budgetNoted = false;      // the empty retry budget was recorded for the present stall
    std::set<server_id> avoid;     // servers that failed this request
    int retries = 0;               // attempts after the first
    bool dispatched = false;       // an attempt has been sent to an engine
    bool headSent = false;         // the response head has been sent, the answer is streaming
    bool closed = false;           // answered or abandoned, no further events are handled
    std::string queue;             // name of the admission queue, model@version
    admission_ticket ticket = 0;   // of the request in the admission queue
    steady_time started;
    steady_time deadline;       // of the request; streamDeadline replaces it once a token has arrived
    steady_time streamDeadline; // of a stream that has begun: a late answer is better than a truncated one
    steady_time lastProgressAt; // last token of the current attempt, or its start
    double intervalMs = 0;      // smoothed time between tokens
    timer_id stallTimer = 0;
    timer_id waitTimer = 0;

    // The time at which the request is given up; later once the first token has arrived.
    steady_time end() const
    {
        return session->tokens().empty() ? deadline : streamDeadline;
    }
};

}
