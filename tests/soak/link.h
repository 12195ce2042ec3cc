#pragma once

// Loopback proxies between two parties of a deployment, which disturb what they forward.

#include "kernel/ids.h"

#include <memory>
#include <string>

namespace chestnut::soak
{

enum class link_fault
{
    none,
    delay,   // bytes arrive later, in order
    squeeze, // few bytes per second
    silence, // open connections carry no bytes, new ones work
    one_way, // no bytes from the party that was called
    cut      // open connections are reset, and so are new ones
};

const char *toText(link_fault fault);

// All links of a deployment; one thread serves them.
class link_network
{
public:
    link_network();
    ~link_network();
    link_network(const link_network &) = delete;
    link_network &operator=(const link_network &) = delete;

    // Adds a link to the party at IP:port. Returns where the link accepts connections.
    std::string add(const std::string &target);
    // Lets new connections of a link, given by its own address, lead to another target.
    void retarget(const std::string &address, const std::string &target);
    // Disturbs a link for a time; replaces an earlier fault.
    void disturb(const std::string &address, link_fault fault, milliseconds length);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

}
