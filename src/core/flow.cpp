// Maximum flow by the Edmonds-Karp algorithm.

#include "core/chestnutgw.h"

#include <algorithm>
#include <limits>

namespace chestnut
{

namespace
{

constexpr double MIN_RESIDUAL = 1e-9; // tokens per second; smaller residual capacities count as zero

// Directed edge of the residual network. The nodes are layer indexes.
struct flow_edge
{
    int from;
    int to;
    double residual; // residual capacity in tokens per second
};

// Finds an augmenting path by breadth-first search. Returns indexes of its edges, from the sink back to the source; empty if there is
// none.
std::vector<std::size_t> findPath(const std::vector<flow_edge> &edges, int source, int sink)
{
    std::map<int, std::size_t> reachedBy;
    std::deque<int> frontier{source};
    while (!frontier.empty() && !reachedBy.contains(sink)) {
        const int at = frontier.front();
        frontier.pop_front();
        for (std::size_t i = 0; i < edges.size(); ++i) {
            const flow_edge &edge = edges[i];
            if (edge.from == at && edge.residual > MIN_RESIDUAL && edge.to != source && !reachedBy.contains(edge.to)) {
                reachedBy[edge.to] = i;
                frontier.push_back(edge.to);
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
    std::map<std::pair<int, int>, double> merged; // capacity by range; servers with the same range share one edge
    for (const server_capacity &one : servers) {
        merged[{one.range.first, one.range.last}] += one.tokensPerSecond;
    }
    std::vector<flow_edge> edges; // each edge is followed by its reverse, so that index ^ 1 is the reverse edge
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
        double bottleneck = std::numeric_limits<double>::infinity();
        for (const std::size_t edge : path) {
            bottleneck = std::min(bottleneck, edges[edge].residual);
        }
        for (const std::size_t edge : path) {
            edges[edge].residual -= bottleneck;
            edges[edge ^ 1U].residual += bottleneck;
        }
        flow += bottleneck;
    }
}

}
