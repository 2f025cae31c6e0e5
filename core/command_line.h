// Command lines by docopt: the usage text is the grammar.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

// The exit codes of every onyxnotch program; docs/operators/exit_codes.md explains each.
enum class ExitCode {
    Success = 0,
    Failed = 1, // The operation was carried out and failed.
    Usage = 2, // The command line or the settings are wrong.
    Refused = 3, // A declaration was refused; nothing changed.
    Conflict = 4, // Another operator changed the same objects; nothing changed.
    Unavailable = 5, // A service that the command needs did not answer.
    Unknown = 6, // A request may or may not have run.
};

// Values of a parsed command line, by option or argument name as written in the usage text.
class CommandLine {
public:
    // Prints help, version or the usage error and ends the process where that is what the user asked for.
    CommandLine(const std::string& usage, int argc, char** argv);

    bool flag(const std::string& name) const;
    std::string text(const std::string& name) const; // Empty where not given.
    std::vector<std::string> list(const std::string& name) const;

private:
    std::map<std::string, bool> m_flags {};
    std::map<std::string, std::string> m_texts {};
    std::map<std::string, std::vector<std::string>> m_lists {};
};

// The version that every program prints.
std::string versionText();

} // namespace Onyxnotch
