#include "timeline.h"

#include <algorithm>
#include <array>
#include <pcg_random.hpp>

namespace chestnut::soak
{

namespace
{

constexpr milliseconds QUIET_START{1500};
constexpr milliseconds QUIET_END{1500};
constexpr milliseconds FIRST_RESTORE{3000};
constexpr milliseconds RESTORE_INTERVAL{6000};
constexpr milliseconds GATEWAY_ABSENCE{8000}; // no further event for a gateway after a signal that ends it
constexpr milliseconds SERVER_ABSENCE{5000};  // no further crash or drain of a server
constexpr answer_manner MANNERS[] = {answer_manner::without_length, answer_manner::late_copy, answer_manner::byte_by_byte, answer_manner::endless};
constexpr link_fault LINK_FAULTS[] = {link_fault::delay, link_fault::squeeze, link_fault::silence, link_fault::one_way, link_fault::cut};

class drawer
{
public:
    explicit drawer(const draw_options &options)
        : m_options(options)
        , m_random(static_cast<std::uint64_t>(options.seed))
        , m_partRandom(static_cast<std::uint64_t>(options.seed), 1)
        , m_linkRandom(static_cast<std::uint64_t>(options.seed), 2)
        , m_answerRandom(static_cast<std::uint64_t>(options.seed), 3)
        , m_stopRandom(static_cast<std::uint64_t>(options.seed), 4)
        , m_end(milliseconds(options.seconds * 1000) - QUIET_END)
    {
    }

    timeline run()
    {
        drawDeployment();
        for (milliseconds at = QUIET_START; at < m_end; at += milliseconds(600 + draw(1600))) {
            drawEpisode(at);
        }
        drawRestores();
        drawCrashingPart();
        drawLinkFaults();
        drawAnswers();
        drawStopDuringFreeze();
        std::stable_sort(m_drawn.events.begin(), m_drawn.events.end(), [](const event &left, const event &right) { return left.at < right.at; });
        return m_drawn;
    }

private:
    int draw(int count)
    {
        return static_cast<int>(m_random(static_cast<std::uint32_t>(count)));
    }

    void drawDeployment()
    {
        const int gateways = 2 + draw(3);
        const int clients = 16 + draw(17);
        m_drawn.gateways = m_options.gateways > 0 ? m_options.gateways : gateways;
        m_drawn.clients = m_options.clients > 0 ? m_options.clients : clients;
        const int engines = 4 + draw(5);
        for (int covers = 0; covers < 2 || static_cast<int>(m_drawn.servers.size()) < engines; ++covers) {
            if (draw(2) == 0) {
                addEngine({0, LAYERS});
            } else {
                const int split = 1 + draw(LAYERS - 1);
                addEngine({0, split});
                addEngine({split, LAYERS});
            }
        }
        const int plain = 2 + draw(2);
        for (int i = 0; i < plain; ++i) {
            m_drawn.servers.push_back({"p" + std::to_string(i), i % 2 == 0 ? "app" : "app2", {}});
        }
        m_serverFree.resize(m_drawn.servers.size());
        m_gatewayFree.resize(static_cast<std::size_t>(m_drawn.gateways));
    }

    void addEngine(layer_span held)
    {
        m_drawn.servers.push_back({"e" + std::to_string(m_drawn.servers.size()), "lm", held});
    }

    action drawAction()
    {
        constexpr std::array<std::pair<action, int>, 10> WEIGHTS{{{action::silence, 32},
                                                                  {action::refuse, 16},
                                                                  {action::crash, 7},
                                                                  {action::drain, 7},
                                                                  {action::reconfigure, 16},
                                                                  {action::hangup, 4},
                                                                  {action::terminate, 7},
                                                                  {action::freeze, 3},
                                                                  {action::kill, 3},
                                                                  {action::store, 5}}};
        int left = draw(100);
        for (const auto &[what, weight] : WEIGHTS) {
            left -= weight;
            if (left < 0) {
                return what;
            }
        }
        return action::silence;
    }

    // Alone, as a series of one kind, several at about the same time, or a silence while the other servers of the service refuse.
    void drawEpisode(milliseconds at)
    {
        const int style = draw(4);
        if (style == 3) {
            return drawSilenceBesideRefusals(at);
        }
        const int count = style == 0 ? 1 : 2 + draw(3);
        action what = drawAction();
        for (int i = 0; i < count; ++i) {
            add(at, what);
            at += milliseconds(style == 1 ? 300 + draw(500) : draw(250));
            what = style == 1 ? what : drawAction();
        }
    }

    void drawSilenceBesideRefusals(milliseconds at)
    {
        const int silent = draw(static_cast<int>(m_drawn.servers.size()));
        for (int i = 0; i < static_cast<int>(m_drawn.servers.size()); ++i) {
            const bool same = m_drawn.servers[static_cast<std::size_t>(i)].service == m_drawn.servers[static_cast<std::size_t>(silent)].service;
            if (i == silent) {
                add(at, action::silence, i);
            } else if (same && draw(8) != 0) {
                add(at - milliseconds(draw(300)), action::refuse, i);
            }
        }
    }

    // The store is away for a moment and comes back from an older copy; drawn last, so that a seed keeps its other events.
    void drawRestores()
    {
        for (milliseconds at = FIRST_RESTORE; at < m_end; at += RESTORE_INTERVAL) {
            event one{at + milliseconds(draw(2000)), action::restore, 0, milliseconds(50 + draw(700)), draw(1000), milliseconds(300 + draw(2500))};
            if (draw(3) == 0) {
                continue;
            }
            m_drawn.events.push_back(one);
            const milliseconds away = one.at + one.copyAge;
            for (int forgotten = draw(3); forgotten > 0; --forgotten) {
                add(away - milliseconds(50 + draw(250)), action::reconfigure);
            }
            add(away + one.length + milliseconds(draw(1500)), config_change::new_key);
        }
    }

    // On every second day; from a generator of its own, so that a seed keeps its other events.
    void drawCrashingPart()
    {
        if (m_partRandom(2) == 0) {
            const milliseconds at = QUIET_START + milliseconds(m_partRandom(1500));
            m_drawn.events.push_back({at, action::crashing_part, 0, m_end - at, 0, milliseconds(0)});
        }
    }

    // On two of three days; from a generator of its own, too. Faults of several links overlap.
    void drawLinkFaults()
    {
        m_drawn.links = m_linkRandom(3) != 0 && m_options.wireFaults;
        for (milliseconds at = QUIET_START; m_drawn.links && at < m_end; at += milliseconds(m_linkRandom(2000))) {
            constexpr action KINDS[]
                = {action::store_link, action::client_link, action::server_link, action::server_link, action::drop_history, action::slow_store};
            const action what = KINDS[m_linkRandom(std::size(KINDS))];
            const auto parties = what == action::server_link ? m_drawn.servers.size() : static_cast<std::size_t>(m_drawn.gateways);
            const int target = static_cast<int>(m_linkRandom(static_cast<std::uint32_t>(parties)));
            const milliseconds length(200 + m_linkRandom(1300));
            m_drawn.events.push_back({at, what, target, length, static_cast<int>(m_linkRandom(1000)), milliseconds(0)});
        }
    }

    // On two of three days, several servers at a time.
    void drawAnswers()
    {
        const bool drawn = m_answerRandom(3) != 0 && m_options.wireFaults;
        for (milliseconds at = QUIET_START; drawn && at < m_end; at += milliseconds(m_answerRandom(2500))) {
            const int target = static_cast<int>(m_answerRandom(static_cast<std::uint32_t>(m_drawn.servers.size())));
            const milliseconds length(300 + m_answerRandom(2000));
            m_drawn.events.push_back({at, action::answers, target, length, static_cast<int>(m_answerRandom(1000)), milliseconds(0)});
        }
    }

    // A stop that begins while the process stands still, on two of three days; from a generator of its own, too.
    void drawStopDuringFreeze()
    {
        const bool drawn = m_stopRandom(3) != 0;
        const auto target = static_cast<int>(m_stopRandom(static_cast<std::uint32_t>(m_drawn.gateways)));
        const milliseconds at = QUIET_START + milliseconds(m_stopRandom(1000));
        const milliseconds length(700 + m_stopRandom(1000));
        const milliseconds stop = at + milliseconds(100 + m_stopRandom(300));
        const milliseconds absence(200 + m_stopRandom(1200));
        if (!drawn || endsNear(target, at)) {
            return;
        }
        m_drawn.events.push_back({at, action::freeze, target, length, 0, milliseconds(0)});
        m_drawn.events.push_back({stop, action::terminate, target, absence, 0, milliseconds(0)});
    }

    // True if another event that ends or stops the gateway comes at about that time.
    bool endsNear(int gateway, milliseconds at) const
    {
        return std::any_of(m_drawn.events.begin(), m_drawn.events.end(), [&](const event &one) {
            const bool ends = one.what == action::terminate || one.what == action::freeze || one.what == action::kill;
            return ends && one.target == gateway && one.at < at + GATEWAY_ABSENCE && at < one.at + GATEWAY_ABSENCE;
        });
    }

    void add(milliseconds at, config_change what)
    {
        m_drawn.events.push_back({at, action::reconfigure, 0, milliseconds(0), static_cast<int>(what), milliseconds(0)});
    }

    void add(milliseconds at, action what)
    {
        const bool ofServer = what == action::silence || what == action::refuse || what == action::crash || what == action::drain;
        add(at, what, draw(ofServer ? static_cast<int>(m_drawn.servers.size()) : m_drawn.gateways));
    }

    void add(milliseconds at, action what, int number)
    {
        event one{at, what, number, milliseconds(0), draw(1000), milliseconds(0)};
        const bool ofServer = what == action::silence || what == action::refuse || what == action::crash || what == action::drain;
        const bool ofGateway = what == action::hangup || what == action::terminate || what == action::freeze || what == action::kill;
        switch (what) {
        case action::silence:
            one.length = milliseconds(800 + draw(700));
            break;
        case action::refuse:
            one.length = milliseconds(500 + draw(2000));
            break;
        case action::freeze:
            one.length = milliseconds(200 + draw(1500));
            break;
        case action::store:
            one.length = milliseconds(300 + draw(2500));
            break;
        default:
            one.length = milliseconds(200 + draw(1200)); // until the restart
        }
        const auto target = static_cast<std::size_t>(one.target);
        if (ofServer && at < m_serverFree[target]) {
            return;
        }
        if (ofGateway && (at < m_gatewayFree[target] || !othersRemain(at, target))) {
            return;
        }
        if (what == action::crash || what == action::drain) {
            m_serverFree[target] = at + SERVER_ABSENCE;
        }
        if (ofGateway && what != action::hangup) {
            m_gatewayFree[target] = at + GATEWAY_ABSENCE;
        }
        m_drawn.events.push_back(one);
    }

    // True if another gateway is up.
    bool othersRemain(milliseconds at, std::size_t target) const
    {
        for (std::size_t i = 0; i < m_gatewayFree.size(); ++i) {
            if (i != target && at >= m_gatewayFree[i]) {
                return true;
            }
        }
        return false;
    }

    draw_options m_options;
    pcg32 m_random;
    pcg32 m_partRandom;
    pcg32 m_linkRandom;
    pcg32 m_answerRandom;
    pcg32 m_stopRandom;
    milliseconds m_end;
    timeline m_drawn;
    std::vector<milliseconds> m_serverFree;
    std::vector<milliseconds> m_gatewayFree;
};

}

const char *toText(action what)
{
    static constexpr const char *NAMES[] = {"silence",
                                            "refuse",
                                            "crash",
                                            "drain",
                                            "reconfigure",
                                            "hangup",
                                            "terminate",
                                            "freeze",
                                            "kill",
                                            "store",
                                            "restore",
                                            "crashing part",
                                            "link to server",
                                            "link to the store of",
                                            "link of clients to",
                                            "answers of",
                                            "store drops its history",
                                            "store reads slowly"};
    return NAMES[static_cast<int>(what)];
}

link_fault faultOfLink(const event &one)
{
    return LINK_FAULTS[static_cast<std::size_t>(one.variant) % std::size(LINK_FAULTS)];
}

answer_manner mannerOf(const event &one)
{
    return MANNERS[static_cast<std::size_t>(one.variant) % std::size(MANNERS)];
}

const char *toText(config_change what)
{
    static constexpr const char *NAMES[] = {"weight", "timeout", "idle limit", "new key", "many routes"};
    return NAMES[static_cast<int>(what)];
}

timeline drawTimeline(const draw_options &options)
{
    return drawer(options).run();
}

std::string describe(const timeline &drawn, const event &one)
{
    const bool ofServer = one.what == action::silence || one.what == action::refuse || one.what == action::crash || one.what == action::drain
        || one.what == action::server_link || one.what == action::answers;
    const bool ofLink = one.what == action::server_link || one.what == action::store_link || one.what == action::client_link;
    const bool ofGateway = one.what == action::hangup || one.what == action::terminate || one.what == action::freeze || one.what == action::kill
        || one.what == action::store_link || one.what == action::client_link;
    std::string text = std::to_string(one.at.count()) + " ms: " + toText(one.what) + " ";
    if (ofServer) {
        text += drawn.servers[static_cast<std::size_t>(one.target)].name;
    } else if (one.what == action::reconfigure) {
        return text + toText(static_cast<config_change>(one.variant % 5));
    } else if (one.what == action::restore) {
        text += "from a copy " + std::to_string(one.copyAge.count()) + " ms old, away";
    } else if (one.what == action::drop_history) {
        return text;
    } else if (ofGateway) {
        text += "g" + std::to_string(one.target);
    }
    text += ofLink ? std::string(" ") + toText(faultOfLink(one)) : "";
    text += one.what == action::answers ? std::string(" ") + toText(mannerOf(one)) : "";
    return text + " for " + std::to_string(one.length.count()) + " ms";
}

}
