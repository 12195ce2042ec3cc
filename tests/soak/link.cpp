#include "link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <map>
#include <set>
#include <thread>

namespace chestnut::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr milliseconds DELAY{60};
constexpr milliseconds SQUEEZE_INTERVAL{20}; // between two pieces on a squeezed link
constexpr std::size_t SQUEEZED_BYTES = 1500; // of such a piece
constexpr std::size_t PIECE_BYTES = 16 * 1024;
constexpr milliseconds HOLD_STEP{5};

tcp::endpoint toEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

auto into(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// Closes the socket with a TCP reset.
void reset(tcp::socket &socket)
{
    error_code ignored; // the peer may have closed it
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

struct connection
{
    connection(tcp::socket accepted, asio::io_context &context)
        : caller(std::move(accepted))
        , called(context)
    {
    }
    tcp::socket caller;
    tcp::socket called;
    steady_time opened = std::chrono::steady_clock::now();
};

// One link. Thread of the network only.
class link : public std::enable_shared_from_this<link>
{
public:
    link(asio::io_context &context, const std::string &target)
        : m_context(context)
        , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_target(target)
    {
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    void retarget(const std::string &target)
    {
        m_target = target;
    }
    void disturb(link_fault fault, milliseconds length)
    {
        m_fault = fault;
        m_since = std::chrono::steady_clock::now();
        m_until = m_since + length;
        if (fault == link_fault::cut) {
            for (const auto &one : m_connections) {
                reset(one->caller);
                reset(one->called);
            }
        }
    }
    void start()
    {
        asio::co_spawn(m_context, accept(shared_from_this()), asio::detached);
    }

private:
    link_fault fault() const
    {
        return std::chrono::steady_clock::now() < m_until ? m_fault : link_fault::none;
    }

    asio::awaitable<void> accept(std::shared_ptr<link> self)
    {
        while (true) {
            error_code error;
            tcp::socket accepted = co_await m_acceptor.async_accept(into(error));
            if (error) { // for example no free descriptors
                co_await wait(HOLD_STEP);
                continue;
            }
            if (fault() == link_fault::cut) {
                reset(accepted);
                continue;
            }
            asio::co_spawn(m_context, serve(self, std::make_shared<connection>(std::move(accepted), m_context)), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<link> self, std::shared_ptr<connection> one)
    {
        error_code error;
        co_await one->called.async_connect(toEndpoint(m_target), into(error));
        if (error) {
            reset(one->caller);
            co_return;
        }
        error_code ignored; // without the option bytes arrive a little later
        one->caller.set_option(tcp::no_delay(true), ignored);
        one->called.set_option(tcp::no_delay(true), ignored);
        m_connections.insert(one);
        asio::co_spawn(m_context, forward(self, one, one->caller, one->called, false), asio::detached);
        co_await forward(self, one, one->called, one->caller, true);
    }

    // Forwards one direction until its sender closes it. `answer` is the direction from the party that was called.
    asio::awaitable<void> forward(std::shared_ptr<link>, std::shared_ptr<connection> one, tcp::socket &from, tcp::socket &to, bool answer)
    {
        std::array<char, PIECE_BYTES> piece{};
        error_code error;
        while (!error) {
            const std::size_t most = fault() == link_fault::squeeze ? SQUEEZED_BYTES : piece.size();
            const std::size_t got = co_await from.async_read_some(asio::buffer(piece.data(), most), into(error));
            co_await hold(*one, answer);
            if (!error) {
                co_await asio::async_write(to, asio::buffer(piece.data(), got), into(error));
            }
        }
        if (error == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, error);
        } else {
            reset(from);
            reset(to);
        }
        if (answer) { // what the caller may still send leads nowhere
            m_connections.erase(one);
        }
    }

    // Waits as long as the present fault keeps a piece back.
    asio::awaitable<void> hold(const connection &one, bool answer)
    {
        const link_fault present = fault();
        if (present == link_fault::delay || present == link_fault::squeeze) {
            co_await wait(present == link_fault::delay ? DELAY : SQUEEZE_INTERVAL);
            co_return;
        }
        while ((fault() == link_fault::silence && one.opened < m_since) || (fault() == link_fault::one_way && answer)) {
            co_await wait(HOLD_STEP);
        }
    }

    asio::awaitable<void> wait(milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        error_code ignored; // the timer is never cancelled
        co_await timer.async_wait(into(ignored));
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::string m_target;
    link_fault m_fault = link_fault::none;
    steady_time m_since{};
    steady_time m_until{};
    std::set<std::shared_ptr<connection>> m_connections;
};

}

const char *toText(link_fault fault)
{
    static constexpr const char *NAMES[] = {"none", "delay", "squeeze", "silence", "one way", "cut"};
    return NAMES[static_cast<int>(fault)];
}

class link_network::implementation
{
public:
    implementation()
        : m_work(asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }
    ~implementation()
    {
        m_context.stop();
        m_thread.join();
    }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    std::string add(const std::string &target)
    {
        const auto added = std::make_shared<link>(m_context, target);
        const std::string address = added->address();
        asio::post(m_context, [this, address, added] {
            m_links[address] = added;
            added->start();
        });
        return address;
    }
    template <typename change>
    void apply(const std::string &address, change made)
    {
        asio::post(m_context, [this, address, made] { made(*m_links.at(address)); });
    }

private:
    asio::io_context m_context{1};
    std::map<std::string, std::shared_ptr<link>> m_links; // by address
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

link_network::link_network()
    : m_impl(std::make_unique<implementation>())
{
}

link_network::~link_network() = default;

std::string link_network::add(const std::string &target)
{
    return m_impl->add(target);
}

void link_network::retarget(const std::string &address, const std::string &target)
{
    m_impl->apply(address, [target](link &one) { one.retarget(target); });
}

void link_network::disturb(const std::string &address, link_fault fault, milliseconds length)
{
    m_impl->apply(address, [fault, length](link &one) { one.disturb(fault, length); });
}

}
