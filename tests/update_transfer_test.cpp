// Tests transfers of updates in parts, without a network.

#include "mesh/update_transfer.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

constexpr std::uint64_t INCARNATION = 1000;
constexpr steady_time NOW{milliseconds(1)};
constexpr milliseconds LONG_UNUSED{60'000};

update_position at(std::uint64_t version)
{
    update_position position;
    position.configVersion = version;
    return position;
}

std::string large(char fill)
{
    return std::string(3 * MAX_PART_BYTES + 100, fill);
}

// Reads from a source until the updates are complete; counts the parts.
std::string readAll(update_source &source, update_reader &reader, update_part part, int &parts)
{
    while (true) {
        ++parts;
        if (std::optional<std::string> updates = reader.take(part)) {
            return *updates;
        }
        part = source.part(reader.transfer(), reader.offset(), NOW).value();
    }
}

}

TEST_CASE("updates arrive whole in parts, each byte once, and are exported once for all readers", "[unit]")
{
    update_source source(INCARNATION);
    int exports = 0;
    const auto make = [&] {
        ++exports;
        return large('a');
    };
    for (const char *peer : {"one", "two"}) {
        update_reader reader;
        reader.begin(peer);
        int parts = 0;
        CHECK(readAll(source, reader, source.firstPart(at(1), at(2), NOW, make), parts) == large('a'));
        CHECK(parts == 4);
        CHECK_FALSE(reader.reading());
    }
    CHECK(exports == 1);
}

TEST_CASE("a read that has stopped goes on where it was with the same peer, and begins anew with another one", "[unit]")
{
    update_source source(INCARNATION);
    const update_part first = source.firstPart(at(1), at(2), NOW, [] { return large('a'); });
    update_reader reader;
    reader.begin("peer");
    CHECK_FALSE(reader.take(first));
    reader.stop();

    reader.begin("peer");
    CHECK(reader.transfer() == first.transfer);
    CHECK(reader.offset() == MAX_PART_BYTES);
    reader.stop();

    reader.begin("other");
    CHECK(reader.transfer() == 0);
    CHECK(reader.offset() == 0);
}

TEST_CASE("updates that are no longer kept, or were kept by an earlier process, begin anew", "[unit]")
{
    update_source source(INCARNATION);
    update_reader reader;
    reader.begin("peer");
    CHECK_FALSE(reader.take(source.firstPart(at(1), at(2), NOW, [] { return large('a'); })));
    const update_part other = source.firstPart(at(1), at(3), NOW + LONG_UNUSED, [] { return large('b'); });
    CHECK_FALSE(source.part(reader.transfer(), reader.offset(), NOW + LONG_UNUSED));
    int parts = 0;
    CHECK(readAll(source, reader, other, parts) == large('b'));

    update_source restarted(INCARNATION + 1);
    CHECK_FALSE(restarted.part(other.transfer, 0, NOW));
    CHECK(restarted.firstPart(at(1), at(2), NOW, [] { return large('c'); }).transfer != other.transfer);
}

TEST_CASE("a read ends if nothing is lacking or a part is malformed", "[unit]")
{
    update_reader reader;
    reader.begin("peer");
    CHECK(reader.take({}) == std::string());
    CHECK_FALSE(reader.reading());
    const std::vector<update_part> malformed{{1, 10, ""}, {1, 10, "more than ten bytes"}, {1, std::uint64_t(1) << 40, "x"}, {1, 0, "x"}};
    for (const update_part &part : malformed) {
        CAPTURE(part.total, part.content);
        reader.begin("peer");
        CHECK_THROWS_AS(reader.take(part), std::invalid_argument);
        CHECK_FALSE(reader.reading());
    }
}

TEST_CASE("the updates that peers read are limited in number, the last used stay", "[unit]")
{
    update_source source(INCARNATION);
    const update_part first = source.firstPart(at(0), at(1), NOW, [] { return large('a'); });
    const update_part second = source.firstPart(at(0), at(2), NOW, [] { return large('a'); });
    for (std::uint64_t version = 3; version < 100; ++version) {
        source.updates(at(0), at(version), NOW, [] { return large('a'); });
        CHECK(source.part(first.transfer, MAX_PART_BYTES, NOW));
    }
    CHECK_FALSE(source.part(second.transfer, MAX_PART_BYTES, NOW));
}
