// Tests the coordinator's lease: who may append to its log, and who holds it, whatever is lost, late or forgotten.

#include "core/coordinator_lease.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <vector>

using namespace chestnut;

namespace
{

const steady_time NOW = steady_time(seconds(1000));
const coordinator_lease_timing TIMING;

// A read from where the lease goes on, of a log that ends at `end`; `newest` is the holder in the last entry read, if there is one.
void recordRead(coordinator_lease &lease, std::uint64_t end, const std::optional<std::string> &newest, steady_time now)
{
    std::optional<lease_entry> entry;
    if (newest) {
        entry = lease_entry{*newest, {}};
    }
    lease.recordRead(lease.nextRead(), {true, {}, end, end, entry}, now);
}

lease_state stateOf(std::uint64_t end, const std::string &holder)
{
    return {{{}, end}, {holder, {}}};
}

//-----------------------------------------------------------------------------
// Simulation
//-----------------------------------------------------------------------------

// Log of the store, which may be restored from an older copy.
struct simulated_log
{
    store_epoch epoch{1};
    std::vector<lease_entry> entries;
    std::vector<lease_entry> copy;

    lease_read read(std::uint64_t from) const
    {
        lease_read result{false, epoch, entries.size(), from, {}};
        if (from > entries.size()) {
            return result; // the log does not reach that offset
        }
        result.ok = true;
        result.next = entries.size();
        if (from < entries.size()) {
            result.newest = entries.back();
        }
        return result;
    }
    bool append(std::uint64_t at, const lease_entry &entry)
    {
        const bool matches = at == entries.size();
        if (matches) {
            entries.push_back(entry);
        }
        return matches;
    }
    void restore()
    {
        entries = copy;
        ++epoch.number;
    }
};

// An append on its way to the store, or its answer on the way back.
struct append_in_transit
{
    lease_append append;
    lease_entry entry;
    bool executed = false;
    bool appended = false;
    store_epoch answered;
};

struct read_in_transit
{
    log_position from;
    lease_read answer;
};

struct simulated_instance
{
    std::string name;
    std::uint64_t incarnation = 1;
    coordinator_lease lease;
    std::vector<append_in_transit> appends;
    std::vector<read_in_transit> reads;

    explicit simulated_instance(const std::string &itsName)
        : name(itsName)
        , lease(makeHolderName(itsName, 1), {})
    {
    }
    // The process ends and starts again; its appends may still reach the store.
    void restart()
    {
        lease = coordinator_lease(makeHolderName(name, ++incarnation), {});
        reads.clear();
    }
};

class simulation
{
public:
    simulation(std::uint64_t seed, bool restores)
        : m_random(seed)
        , m_restores(restores)
    {
    }
    void step(steady_time now)
    {
        changeStore();
        for (simulated_instance &instance : m_instances) {
            exchangeWithStore(instance, now);
        }
        if (chance(20)) {
            learnFromPeer(now);
        }
    }
    // True if no instance believes the log to be longer than it is.
    bool endsExist() const
    {
        return std::all_of(m_instances.begin(), m_instances.end(), [this](const simulated_instance &instance) {
            const log_position end = instance.lease.state().end;
            return end.epoch != m_log.epoch || end.offset <= m_log.entries.size();
        });
    }
    int holders(steady_time now) const
    {
        return static_cast<int>(
            std::count_if(m_instances.begin(), m_instances.end(), [now](const simulated_instance &instance) { return instance.lease.holds(now); }));
    }

private:
    bool chance(unsigned percent)
    {
        return m_random(100) < percent;
    }
    void changeStore()
    {
        if (chance(2)) {
            m_log.copy = m_log.entries;
        }
        if (m_restores && m_random(200) == 0) {
            m_log.restore();
        }
    }
    void exchangeWithStore(simulated_instance &instance, steady_time now)
    {
        if (m_random(300) == 0) {
            instance.restart();
        }
        if (chance(40)) {
            const log_position from = instance.lease.nextRead();
            instance.reads.push_back({from, m_log.read(from.offset)});
        }
        if (!instance.reads.empty() && chance(80)) {
            instance.lease.recordRead(instance.reads.front().from, instance.reads.front().answer, now);
            instance.reads.erase(instance.reads.begin());
        }
        if (chance(50) && instance.lease.shouldAppend(now)) {
            const lease_append append = instance.lease.recordAppendSent(now);
            instance.appends.push_back({append, instance.lease.ownEntry(), false, false, {}});
        }
        std::erase_if(instance.appends, [&](append_in_transit &one) { return advance(instance, one, now); });
    }
    // Returns true once the append needs no further step.
    bool advance(simulated_instance &instance, append_in_transit &one, steady_time now)
    {
        if (!one.executed) {
            if (chance(70)) {
                one.executed = true;
                one.appended = m_log.append(one.append.at.offset, one.entry);
                one.answered = m_log.epoch;
            }
            return false;
        }
        if (!chance(50)) {
            return false;
        }
        const bool sameProcess = one.entry.holder == instance.lease.self();
        if (sameProcess && chance(70)) { // else the answer is lost
            instance.lease.recordAppendResult(one.append, one.appended, one.answered, now);
        }
        return true;
    }
    void learnFromPeer(steady_time now)
    {
        const std::size_t from = m_random(static_cast<std::uint32_t>(m_instances.size()));
        const std::size_t to = m_random(static_cast<std::uint32_t>(m_instances.size()));
        if (from != to) {
            m_instances[to].lease.recordLearnedFromPeer(m_instances[from].lease.state(), now);
        }
    }

    pcg32 m_random;
    bool m_restores;
    simulated_log m_log;
    std::vector<simulated_instance> m_instances{simulated_instance("a"), simulated_instance("b"), simulated_instance("c")};
};

}

TEST_CASE("two instances never hold the lease at once, whatever is lost or the store forgets", "[unit]")
{
    constexpr int STEPS = 600;
    constexpr milliseconds STEP{50};
    const bool restores = GENERATE(false, true);
    int held = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        simulation one(seed, restores);
        for (int step = 0; step < STEPS; ++step) {
            const steady_time now = NOW + step * STEP;
            one.step(now);
            CAPTURE(seed, step, restores);
            REQUIRE(one.holders(now) <= 1);
            REQUIRE(one.endsExist());
            held += one.holders(now);
        }
    }
    CHECK(held > 400 * STEPS / (restores ? 4 : 2)); // the lease is held most of the time, so the test is not empty
}

TEST_CASE("a lease of which the restored store has forgotten the entry is not taken before its term ends", "[unit]")
{
    const bool emptyLog = GENERATE(true, false);
    coordinator_lease holder("a#1", {});
    coordinator_lease other("b#2", {}); // its former incarnation is named by the newest entry that is left
    const store_epoch first{1};
    const store_epoch second{2};
    holder.recordRead({}, {true, first, 4, 4, lease_entry{"b#1", first}}, NOW - TIMING.takeover);
    REQUIRE(holder.shouldAppend(NOW));
    const lease_append append = holder.recordAppendSent(NOW);
    holder.recordAppendResult(append, true, first, NOW);
    REQUIRE(holder.holds(NOW));
    const lease_read left = emptyLog ? lease_read{true, second, 0, 0, {}} : lease_read{true, second, 4, 4, lease_entry{"b#1", first}};
    other.recordRead({}, left, NOW + milliseconds(10));
    CHECK_FALSE(other.shouldAppend(NOW + TIMING.hold));
    CHECK(other.shouldAppend(NOW + milliseconds(10) + TIMING.takeover));
    // The holder learns of the restore by its next answer.
    holder.recordRead({first, 5}, {false, second, 0, 5, {}}, NOW + milliseconds(20));
    CHECK_FALSE(holder.holds(NOW + milliseconds(20)));
    CHECK(holder.nextRead() == log_position{second, 0});
}

TEST_CASE("a lease whose append was sent twice is held no longer than from the first one", "[unit]")
{
    coordinator_lease lease("a", {});
    recordRead(lease, 0, std::nullopt, NOW);
    lease.recordAppendSent(NOW);
    const steady_time again = NOW + TIMING.renewal;
    REQUIRE(lease.shouldAppend(again));
    const lease_append second = lease.recordAppendSent(again);
    const bool refusedFirst = GENERATE(true, false); // the answer to the second append comes before the read
    if (refusedFirst) {
        lease.recordAppendResult(second, false, {}, again);
    }
    recordRead(lease, 1, "a", again); // the first append took effect; its answer was lost
    CHECK(lease.holds(again));
    CHECK_FALSE(lease.holds(NOW + TIMING.hold));
}

TEST_CASE("an append sent before a restore and executed after it makes nobody the holder", "[unit]")
{
    coordinator_lease lease("a#1", {});
    const store_epoch first{1};
    const store_epoch second{2};
    lease.recordRead({}, {true, first, 0, 0, {}}, NOW);
    const steady_time sent = NOW + TIMING.takeover;
    REQUIRE(lease.shouldAppend(sent));
    const lease_append append = lease.recordAppendSent(sent);
    SECTION("by its answer")
    {
        lease.recordAppendResult(append, true, second, sent);
    }
    SECTION("by a read")
    {
        lease.recordRead({first, 0}, {true, second, 1, 1, lease_entry{"a#1", first}}, sent);
    }
    CHECK_FALSE(lease.holds(sent));
    CHECK_FALSE(lease.shouldAppend(sent + TIMING.hold));
}

TEST_CASE("the first instance to read an empty lease log acquires the lease and keeps it by renewals", "[unit]")
{
    coordinator_lease lease("a", {});
    CHECK_FALSE(lease.shouldAppend(NOW));
    recordRead(lease, 0, std::nullopt, NOW);
    CHECK(lease.shouldAppend(NOW));
    const lease_append append = lease.recordAppendSent(NOW);
    CHECK_FALSE(lease.holds(NOW));
    lease.recordAppendResult(append, true, {}, NOW);
    CHECK(lease.holds(NOW + TIMING.hold - milliseconds(1)));
    CHECK_FALSE(lease.holds(NOW + TIMING.hold));
    CHECK_FALSE(lease.shouldAppend(NOW + TIMING.renewal - milliseconds(1)));
    CHECK(lease.shouldAppend(NOW + TIMING.renewal));
    CHECK(TIMING.renewal * 2 < TIMING.hold); // one renewal may be lost
    CHECK(TIMING.hold < TIMING.takeover);
}

TEST_CASE("an instance that learns of renewals from a peer takes over as soon as one that reads the log", "[unit]")
{
    coordinator_lease other("b", {});
    other.recordLearnedFromPeer(stateOf(1, "a"), NOW);
    other.recordLearnedFromPeer(stateOf(2, "a"), NOW + milliseconds(900));
    other.recordLearnedFromPeer(stateOf(1, "a"), NOW + milliseconds(1000)); // late
    const steady_time due = NOW + milliseconds(900) + TIMING.takeover;
    recordRead(other, 2, "a", NOW + milliseconds(3000)); // no new entry in the log
    CHECK_FALSE(other.shouldAppend(due - milliseconds(1)));
    CHECK(other.shouldAppend(due));
    CHECK(other.state().end.offset == 2);
}

TEST_CASE("a restarted instance takes over from its previous incarnation at once, others wait", "[unit]")
{
    coordinator_lease restarted(makeHolderName("x", 2), {});
    coordinator_lease other(makeHolderName("x2", 1), {});
    for (coordinator_lease *lease : {&restarted, &other}) {
        recordRead(*lease, 1, makeHolderName("x", 1), NOW);
    }
    CHECK(restarted.shouldAppend(NOW));
    CHECK_FALSE(other.shouldAppend(NOW + TIMING.hold));
    CHECK(other.shouldAppend(NOW + TIMING.takeover));
    CHECK_FALSE(restarted.holds(NOW));
    const lease_append append = restarted.recordAppendSent(NOW);
    restarted.recordAppendResult(append, true, {}, NOW);
    CHECK(restarted.holds(NOW));
}

TEST_CASE("a read that began before an append of the same instance does not move the known end of the log back", "[unit]")
{
    coordinator_lease lease("a", {});
    recordRead(lease, 4, std::nullopt, NOW);
    const lease_append append = lease.recordAppendSent(NOW);
    lease.recordAppendResult(append, true, {}, NOW);
    recordRead(lease, 4, std::nullopt, NOW + milliseconds(5));
    CHECK(lease.state().end.offset == 5);
}
