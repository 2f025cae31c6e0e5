// Command line parsing with docopt, which derives the grammar from the usage text.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

// Exit codes of all onyxnotch programs. Each is explained in docs/operators/exit_codes.md.
enum class ExitCode {
    Success = 0,
    Failed = 1, // The operation was attempted and failed.
    Usage = 2, // Invalid command line or settings.
    Refused = 3, // A declaration was rejected; nothing was changed.
    Conflict = 4, // Another operator has modified the same objects; nothing was changed.
    Unavailable = 5, // A service required by the command did not respond.
    Unknown = 6, // It is unknown whether a request was executed.
};

// A parsed command line. Values are looked up by the option or argument name as it is written in the usage text.
class CommandLine {
public:
    // Parses the arguments. For a help or version option, or an invalid command line, prints the respective text and exits the process.
    CommandLine(const std::string& usage, int argc, char** argv);

    bool flag(const std::string& name) const;
    std::string text(const std::string& name) const; // Empty if the option was not given.
    std::vector<std::string> list(const std::string& name) const;

private:
    std::map<std::string, bool> m_flags {};
    std::map<std::string, std::string> m_texts {};
    std::map<std::string, std::vector<std::string>> m_lists {};
};

// The version text printed by all programs.
std::string versionText();

} // namespace Onyxnotch
