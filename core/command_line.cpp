#include "core/command_line.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace Onyxnotch {

CommandLine::CommandLine(const std::string& usage, int argc, char** argv)
{
    std::map<std::string, docopt::value> values;
    try {
        values = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, true);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage << std::endl;
        std::exit(static_cast<int>(ExitCode::Success));
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << versionText() << std::endl;
        std::exit(static_cast<int>(ExitCode::Success));
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n"
                  << usage << std::endl;
        std::exit(static_cast<int>(ExitCode::Usage));
    }
    for (const auto& [name, value] : values) {
        if (value.isBool())
            m_flags[name] = value.asBool();
        else if (value.isString())
            m_texts[name] = value.asString();
        else if (value.isStringList())
            m_lists[name] = value.asStringList();
    }
}

bool CommandLine::flag(const std::string& name) const
{
    auto it = m_flags.find(name);
    return it != m_flags.end() && it->second;
}

std::string CommandLine::text(const std::string& name) const
{
    auto it = m_texts.find(name);
    return it == m_texts.end() ? std::string() : it->second;
}

std::vector<std::string> CommandLine::list(const std::string& name) const
{
    auto it = m_lists.find(name);
    return it == m_lists.end() ? std::vector<std::string>() : it->second;
}

std::string versionText() { return "onyxnotch 0.1.0"; }

} // namespace Onyxnotch
