// Sections: libcurl callbacks, transfers, timers and tasks, public interface. What concerns a single transfer is in http_transfer.cpp.

#include "kernel/event_loop.h"

#include "kernel/http_transfer.h"
#include "kernel/log.h"
#include "kernel/scope.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <pthread.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <thread>
#include <unordered_map>

namespace chestnut
{

namespace
{

constexpr int MAX_EVENTS = 256;            // epoll events handled per wait
constexpr long MAX_IDLE_CONNECTIONS = 512; // keep-alive connections that one loop caches

struct curl_global
{
    curl_global()
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    }
};

// An exception ends the task that threw it, not the process, whose other work does not depend on it.
void runLogged(const std::function<void()> &task)
{
    try {
        task();
    } catch (const std::exception &problem) {
        logLine(log_level::error, "task_failed", {{"task", "posted"}, {"reason", problem.what()}});
    }
}

}

class event_loop::implementation
{
public:
    explicit implementation(const std::string &name);
    ~implementation();

    void stop();
    void post(std::function<void()> task);
    timer_id after(microseconds delay, std::function<void()> task);
    void cancel(timer_id timer);
    transfer_id start(http_request request, transfer_handler handler);
    void abort(transfer_id id);
    void finish(transfer_id id, CURLcode code);
    void closeIdleConnections();

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *user, void *known);
    static int onTimeout(CURLM *multi, long timeoutMs, void *user);
    void loop();
    timespec waitTime() const;
    void runTasks();
    void runTimers();
    void collectFinished();
    void removeAborted();
    void handleSocket(int socket, int events);
    void addStarted();
    void checkIdleTimeout(transfer_id id);

    unique_fd m_epoll;
    unique_fd m_wakeup;
    CURLM *m_multi = nullptr;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex; // guards m_tasks
    std::vector<std::function<void()>> m_tasks;
    std::multimap<steady_time, std::pair<timer_id, std::function<void()>>> m_timers;
    std::unordered_map<timer_id, steady_time> m_timerTimes;
    std::uint64_t m_nextId = 1;
    steady_time m_polledAt = std::chrono::steady_clock::now(); // what had arrived by then has been handled when timers run
    timer_id m_curlTimer = 0;
    bool m_curlDue = false;
    std::unordered_map<transfer_id, std::unique_ptr<http_transfer>> m_transfers;
    std::vector<std::unique_ptr<http_transfer>> m_aborted;
    std::vector<transfer_id> m_started; // inside a callback of libcurl, not passed to it yet
    bool m_inCurl = false;              // libcurl is running and may call back
    std::thread m_thread;
};

event_loop::implementation::implementation(const std::string &name)
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    static const curl_global GLOBAL;
    m_multi = curl_multi_init();
    if (m_epoll.get() < 0 || m_wakeup.get() < 0 || m_multi == nullptr) {
        throw std::runtime_error("event loop: cannot create epoll, eventfd or libcurl handle");
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_wakeup.get();
    epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, m_wakeup.get(), &event);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, onTimeout);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
    m_thread = std::thread([this] { loop(); });
    pthread_setname_np(m_thread.native_handle(), name.substr(0, 15).c_str());
}

void event_loop::implementation::stop()
{
    m_stopping = true;
    post([] {});
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

event_loop::implementation::~implementation()
{
    stop();
    removeAborted();
    for (auto &[id, one] : m_transfers) {
        curl_multi_remove_handle(m_multi, one->easy);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
}

//-----------------------------------------------------------------------------
// libcurl callbacks
//-----------------------------------------------------------------------------

int event_loop::implementation::onSocket(CURL *, curl_socket_t socket, int what, void *user, void *known)
{
    auto *self = static_cast<implementation *>(user);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(self->m_epoll.get(), EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    const int operation = known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (epoll_ctl(self->m_epoll.get(), operation, socket, &event) != 0) {
        epoll_ctl(self->m_epoll.get(), operation == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    }
    curl_multi_assign(self->m_multi, socket, self);
    return 0;
}

int event_loop::implementation::onTimeout(CURLM *, long timeoutMs, void *user)
{
    auto *self = static_cast<implementation *>(user);
    self->cancel(self->m_curlTimer);
    self->m_curlTimer = 0;
    if (timeoutMs >= 0) {
        self->m_curlTimer = self->after(milliseconds(timeoutMs), [self] {
            self->m_curlTimer = 0;
            self->m_curlDue = true;
        });
    }
    return 0;
}

//-----------------------------------------------------------------------------
// Transfers
//-----------------------------------------------------------------------------

transfer_id event_loop::implementation::start(http_request request, transfer_handler handler)
{
    auto one = std::make_unique<http_transfer>();
    const transfer_id id = m_nextId++;
    one->id = id;
    one->easy = curl_easy_init();
    one->request = std::move(request);
    one->handler = std::move(handler);
    one->lastByte = std::chrono::steady_clock::now();
    applyOptions(*one);
    http_transfer &placed = *one;
    m_transfers[id] = std::move(one);
    m_started.push_back(id);
    if (!m_inCurl) {
        addStarted();
    }
    if (placed.request.idleTimeout.count() > 0) {
        checkIdleTimeout(id);
    }
    if (placed.request.totalTimeout.count() > 0) {
        // A timer of the loop, because libcurl checks its own timeouts before it reads what has arrived.
        placed.totalTimer = after(placed.request.totalTimeout, [this, id] { finish(id, CURLE_OPERATION_TIMEDOUT); });
    }
    return id;
}

// libcurl accepts no new transfer inside a callback of another one. Those started there are added once it has returned.
void event_loop::implementation::addStarted()
{
    for (const transfer_id id : std::exchange(m_started, {})) {
        const auto found = m_transfers.find(id);
        if (found != m_transfers.end()) {
            curl_multi_add_handle(m_multi, found->second->easy);
        }
    }
}

// Lets libcurl handle what is ready on a socket, or its timers for CURL_SOCKET_TIMEOUT.
void event_loop::implementation::handleSocket(int socket, int events)
{
    int running = 0;
    m_inCurl = true;
    curl_multi_socket_action(m_multi, socket, events, &running);
    m_inCurl = false;
    addStarted();
}

void event_loop::implementation::checkIdleTimeout(transfer_id id)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
        return;
    }
    http_transfer &one = *found->second;
    const auto deadline = one.lastByte + one.request.idleTimeout;
    if (m_polledAt >= deadline) {
        one.idleTimer = 0;
        finish(id, CURLE_OPERATION_TIMEDOUT);
        return;
    }
    one.idleTimer = after(std::chrono::ceil<milliseconds>(deadline - m_polledAt), [this, id] { checkIdleTimeout(id); });
}

// May be called inside a callback of the same transfer, where libcurl forbids removing the handle. The removal is therefore
// deferred to the end of the loop iteration.
void event_loop::implementation::abort(transfer_id id)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
        return;
    }
    cancel(found->second->idleTimer);
    cancel(found->second->totalTimer);
    found->second->aborted = true;
    m_aborted.push_back(std::move(found->second));
    m_transfers.erase(found);
}

void event_loop::implementation::removeAborted()
{
    const std::vector<std::unique_ptr<http_transfer>> aborted = std::move(m_aborted);
    m_aborted.clear();
    for (const auto &one : aborted) {
        curl_multi_remove_handle(m_multi, one->easy);
    }
}

void event_loop::implementation::finish(transfer_id id, CURLcode code)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
        return;
    }
    const std::unique_ptr<http_transfer> one = std::move(found->second);
    m_transfers.erase(found);
    cancel(one->idleTimer);
    cancel(one->totalTimer);
    fillResult(*one, code);
    curl_multi_remove_handle(m_multi, one->easy);
    if (one->handler.onDone) {
        one->handler.onDone(std::move(one->result));
    }
}

void event_loop::implementation::collectFinished()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        http_transfer *one = nullptr;
        const CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &one);
        finish(one->id, code);
    }
}

void event_loop::implementation::closeIdleConnections()
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 1L);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
}

//-----------------------------------------------------------------------------
// Timers and tasks
//-----------------------------------------------------------------------------

void event_loop::implementation::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
        if (m_tasks.size() > 1) {
            return; // the first pending task has already woken the loop
        }
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeup.get(), &one, sizeof one);
}

timer_id event_loop::implementation::after(microseconds delay, std::function<void()> task)
{
    const timer_id id = m_nextId++;
    const steady_time due = std::chrono::steady_clock::now() + delay;
    m_timers.emplace(due, std::make_pair(id, std::move(task)));
    m_timerTimes[id] = due;
    return id;
}

void event_loop::implementation::cancel(timer_id timer)
{
    const auto found = m_timerTimes.find(timer);
    if (found == m_timerTimes.end()) {
        return;
    }
    const auto [first, last] = m_timers.equal_range(found->second);
    for (auto at = first; at != last; ++at) {
        if (at->second.first == timer) {
            m_timers.erase(at);
            break;
        }
    }
    m_timerTimes.erase(found);
}

// Runs the timers that were due when the sockets were last polled.
void event_loop::implementation::runTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_polledAt) {
        auto [id, task] = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        m_timerTimes.erase(id);
        task();
    }
}

void event_loop::implementation::runTasks()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (const auto &task : tasks) {
        runLogged(task);
    }
}

timespec event_loop::implementation::waitTime() const
{
    constexpr microseconds MAX_WAIT{1'000'000};
    microseconds wait = MAX_WAIT;
    if (!m_timers.empty()) {
        const auto left = std::chrono::ceil<microseconds>(m_timers.begin()->first - std::chrono::steady_clock::now());
        wait = std::clamp(left, microseconds(0), MAX_WAIT);
    }
    return {wait.count() / 1'000'000, wait.count() % 1'000'000 * 1000};
}

void event_loop::implementation::loop()
{
    std::array<epoll_event, MAX_EVENTS> events{};
    while (!m_stopping) {
        const timespec wait = waitTime();
        const int count = epoll_pwait2(m_epoll.get(), events.data(), MAX_EVENTS, &wait, nullptr);
        m_polledAt = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i) {
            const epoll_event &event = events[static_cast<std::size_t>(i)];
            if (event.data.fd == m_wakeup.get()) {
                std::uint64_t drained = 0;
                [[maybe_unused]] const ssize_t got = ::read(m_wakeup.get(), &drained, sizeof drained);
                continue;
            }
            int action = 0;
            action |= (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
            action |= (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
            action |= (event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
            handleSocket(event.data.fd, action);
        }
        // What has arrived is handled before the timers, so that a delay of this thread is not taken for silence of a partner.
        collectFinished();
        runTimers();
        if (m_curlDue) {
            m_curlDue = false;
            handleSocket(CURL_SOCKET_TIMEOUT, 0);
            collectFinished();
        }
        runTasks();
        removeAborted();
    }
}

//-----------------------------------------------------------------------------
// Public interface
//-----------------------------------------------------------------------------

event_loop::event_loop(const std::string &name)
    : m_impl(std::make_unique<implementation>(name))
{
}

event_loop::~event_loop() = default;

void event_loop::post(std::function<void()> task)
{
    m_impl->post(std::move(task));
}

void event_loop::run(const std::function<void()> &task)
{
    std::promise<void> done;
    m_impl->post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

timer_id event_loop::after(microseconds delay, std::function<void()> task)
{
    return m_impl->after(delay, std::move(task));
}

void event_loop::cancel(timer_id timer)
{
    m_impl->cancel(timer);
}

transfer_id event_loop::start(http_request request, transfer_handler handler)
{
    return m_impl->start(std::move(request), std::move(handler));
}

void event_loop::abort(transfer_id transfer)
{
    m_impl->abort(transfer);
}

void event_loop::stop()
{
    m_impl->stop();
}

void event_loop::closeIdleConnections()
{
    m_impl->closeIdleConnections();
}

}
