// Pipeline session. The steps of the model spec/pipeline.pml are named after the functions in this file.

#include "core/chestnutgw.h"

namespace chestnut
{

namespace
{

// True if the ranges that ran are the ranges of the chain in order, so that each layer ran exactly once.
bool matchesChain(const std::vector<layer_range> &ran, const pipeline_chain &chain)
{
    if (ran.size() != chain.stages.size()) {
        return false;
    }
    for (std::size_t i = 0; i < ran.size(); ++i) {
        if (ran[i] != chain.stages[i].range) {
            return false;
        }
    }
    return true;
}

// True if the ranges of the chain are not empty and cover layers 0 to `layers` without gap or overlap.
bool coversAllLayers(const pipeline_chain &chain, int layers)
{
    int next = 0;
    for (const chain_stage &stage : chain.stages) {
        if (stage.range.first != next || stage.range.last <= next) {
            return false;
        }
        next = stage.range.last;
    }
    return next == layers;
}

}

pipeline_session::pipeline_session(request_id id, int layers, std::string version, int maxTokens)
    : m_id(std::move(id))
    , m_layers(layers)
    , m_version(std::move(version))
    , m_maxTokens(maxTokens)
{
}

// Step BEGIN of spec/pipeline.pml.
attempt_number pipeline_session::begin(const pipeline_chain &chain)
{
    if (!coversAllLayers(chain, m_layers)) {
        throw std::invalid_argument("the chain does not cover the layers of the model once, in order");
    }
    withdrawSecond();
    m_chain = chain;
    m_attempt = attempt_number{++m_lastAttempt.value};
    return m_attempt;
}

// Step SECOND_ATTEMPT of spec/pipeline.pml.
attempt_number pipeline_session::beginSecond(const pipeline_chain &chain)
{
    if (!coversAllLayers(chain, m_layers)) {
        throw std::invalid_argument("the chain does not cover the layers of the model once, in order");
    }
    m_secondChain = chain;
    m_second = attempt_number{++m_lastAttempt.value};
    return m_second;
}

void pipeline_session::promoteSecond()
{
    if (m_second.value != 0) {
        m_attempt = m_second;
        m_chain = std::move(m_secondChain);
        withdrawSecond();
    }
}

void pipeline_session::withdrawSecond()
{
    m_second = attempt_number{};
    m_secondChain = pipeline_chain();
}

// Step ACCEPT of spec/pipeline.pml.
token_verdict pipeline_session::accept(const token_event &event)
{
    const bool second = m_second.value != 0 && event.attempt == m_second;
    if ((event.attempt != m_attempt && !second) || isComplete()) {
        return token_verdict::stale;
    }
    const bool inOrder = event.index == static_cast<int>(m_tokens.size()) && event.index < m_maxTokens;
    if (!inOrder || event.version != m_version || !matchesChain(event.ranges, second ? m_secondChain : m_chain)) {
        return token_verdict::violation;
    }
    if (second) {
        promoteSecond();
    }
    withdrawSecond(); // it began at the index of this token
    m_tokens.push_back(event.text);
    return token_verdict::deliver;
}

// Step COMPLETE of spec/pipeline.pml.
bool pipeline_session::complete(attempt_number attempt, int tokens, const std::string &reason)
{
    const bool isFullAnswer = tokens == static_cast<int>(m_tokens.size()) && (reason == "stop" || (reason == "length" && tokens == m_maxTokens));
    const bool second = m_second.value != 0 && attempt == m_second;
    if ((attempt != m_attempt && !second) || isComplete() || !isFullAnswer) {
        return false;
    }
    if (second) {
        promoteSecond();
    }
    withdrawSecond();
    m_finishReason = reason;
    return true;
}

}
