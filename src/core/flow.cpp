#include "core/chestnutgw.h"

#include <algorithm>
#include <limits>

namespace chestnut
{

namespace
{

constexpr double NEGLIGIBLE = 1e-9; // tokens a second

// Edge of the flow network with its reverse.
struct flow_edge
{
    int from;
    int to;
    double free; // capacity left
};

// Finds a path with free capacity from the source to the sink, breadth first. Returns the edges, empty if there is none.
std::vector<std::size_t> findPath(const std::vector<flow_edge> &edges, int source, int sink)
{
    std::map<int, std::size_t> reachedBy;
    std::deque<int> open{source};
    while (!open.empty() && !reachedBy.contains(sink)) {
        const int at = open.front();
        open.pop_front();
        for (std::size_t i = 0; i < edges.size(); ++i) {
            const flow_edge &edge = edges[i];
            if (edge.from == at && edge.free > NEGLIGIBLE && edge.to != source && !reachedBy.contains(edge.to)) {
                reachedBy[edge.to] = i;
                open.push_back(edge.to);
            }
        }
    }
    std::vector<std::size_t> path;
    for (int at = sink; reachedBy.contains(at) && at != source; at = edges[reachedBy[at]].from) {
        path.push_back(reachedBy[at]);
    }
    return path;
}

}

double pipelineCapacity(const std::vector<server_capacity> &servers, int layers)
{
    std::map<std::pair<int, int>, double> merged; // servers of the same range are one edge
    for (const server_capacity &one : servers) {
        merged[{one.range.first, one.range.last}] += one.tokensPerSecond;
    }
    std::vector<flow_edge> edges; // each followed by its reverse
    for (const auto &[range, capacity] : merged) {
        edges.push_back({range.first, range.second, capacity});
        edges.push_back({range.second, range.first, 0});
    }
    double flow = 0;
    while (true) {
        const std::vector<std::size_t> path = findPath(edges, 0, layers);
        if (path.empty()) {
            return flow;
        }
        double step = std::numeric_limits<double>::infinity();
        for (const std::size_t edge : path) {
            step = std::min(step, edges[edge].free);
        }
        for (const std::size_t edge : path) {
            edges[edge].free -= step;
            edges[edge ^ 1U].free += step;
        }
        flow += step;
    }
}

}
