#pragma once

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

namespace chestnut
{

// Factories of the implementations of a plug-in interface, by name. A plug-in registers itself with a file-local
// `const plugin_registrar<interface, arguments...> REGISTRAR("name", factory);`.
template <typename interface, typename... arguments>
class plugin_registry
{
public:
    using factory = std::function<std::unique_ptr<interface>(arguments...)>;

    static plugin_registry &instance()
    {
        static plugin_registry registry;
        return registry;
    }

    void add(const std::string &name, factory make)
    {
        m_factories[name] = std::move(make);
    }

    // Creates the plug-in of this name. Throws std::invalid_argument with the list of names if there is none.
    std::unique_ptr<interface> make(const std::string &name, arguments... args) const
    {
        const auto found = m_factories.find(name);
        if (found != m_factories.end()) {
            return found->second(std::forward<arguments>(args)...);
        }
        std::string known;
        for (const auto &entry : m_factories) {
            known += " " + entry.first;
        }
        throw std::invalid_argument("no plug-in named '" + name + "'; known:" + known);
    }

private:
    std::map<std::string, factory> m_factories;
};

// Registers a factory when it is constructed, usually as a static object.
template <typename interface, typename... arguments>
struct plugin_registrar
{
    plugin_registrar(const std::string &name, typename plugin_registry<interface, arguments...>::factory make)
    {
        plugin_registry<interface, arguments...>::instance().add(name, std::move(make));
    }
};

}
