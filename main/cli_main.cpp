#include "core/file.h"
#include "main/operator_commands.h"
#include "main/settings_reference.h"
#include <charconv>
#include <cstdlib>
#include <iostream>

namespace {

using namespace Onyxnotch;

constexpr auto usage = R"(onyxnotch: declares what runs where and for whom, and shows what the system does and why.

Usage:
  onyxnotch check FILE [--objects ADDRESS]
  onyxnotch apply FILE --objects ADDRESS [--if-version VERSION]
  onyxnotch delete KIND NAME --objects ADDRESS
  onyxnotch drain INSTANCE --objects ADDRESS
  onyxnotch get [KIND [NAME]] --objects ADDRESS
  onyxnotch watch --objects ADDRESS [--count COUNT]
  onyxnotch status (--gateway ADDRESS)... [--key-file FILE] [--objects ADDRESS]
  onyxnotch explain REQUEST (--gateway ADDRESS)... [--key-file FILE]
  onyxnotch explain REQUEST (--log FILE)...
  onyxnotch report burn (--log FILE)... [--page FILE] [--target PART] [--fast SECONDS] [--slow SECONDS]
  onyxnotch chat SERVICE PROMPT (--gateway ADDRESS)... --key-file FILE [--max-tokens COUNT]
  onyxnotch call SERVICE PATH BODY (--gateway ADDRESS)... --key-file FILE [--once]
  onyxnotch settings-reference
  onyxnotch (-h | --help)
  onyxnotch --version

Options:
  --objects ADDRESS     Object API of the platform, HOST:PORT.
  --gateway ADDRESS     Gateway to ask, HOST:PORT; may be given several times.
  --key-file FILE       File with the bearer key.
  --log FILE            Log of a process; may be given several times.
  --page FILE           Write the report there as an HTML page as well.
  --target PART         Part of the requests that should be good [default: 0.95].
  --fast SECONDS        Fast window [default: 300].
  --slow SECONDS        Slow window [default: 3600].
  --if-version VERSION  Refuse objects that were changed after this version.
  --max-tokens COUNT    Longest answer [default: 256].
  --count COUNT         End after so many changes [default: 1000000].
  --once                The call may not be repeated.
  -h --help             Show this text.
  --version             Show the version.

Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 conflict, 5 unavailable, 6 unknown.
)";

[[noreturn]] void exitWithUsageError(const std::string& message)
{
    std::cerr << message << std::endl;
    std::exit(static_cast<int>(ExitCode::Usage));
}

Address requireAddress(const std::string& text)
{
    auto address = parseAddress(text);
    if (!address)
        exitWithUsageError(address.error().message);
    return address.value();
}

std::uint64_t requireNumber(const std::string& option, const std::string& text)
{
    std::uint64_t number = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        exitWithUsageError(option + ": '" + text + "' is not a number");
    return number;
}

std::string readKey(const std::string& path)
{
    if (path.empty())
        return {};
    auto text = readFile(path);
    if (!text)
        exitWithUsageError(text.error().message);
    auto key = text.value();
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    return key;
}

BurnOptions burnOptions(const CommandLine& arguments)
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    auto target = std::atof(arguments.text("--target").c_str());
    if (target <= 0 || target >= 1)
        exitWithUsageError("--target: it must lie between 0 and 1");
    return { .target = target, .fastMilliseconds = requireNumber("--fast", arguments.text("--fast")) * millisecondsPerSecond, .slowMilliseconds = requireNumber("--slow", arguments.text("--slow")) * millisecondsPerSecond };
}

ExitCode run(const CommandLine& arguments)
{
    auto objectsText = arguments.text("--objects");
    auto objects = objectsText.empty() ? Address {} : requireAddress(objectsText);
    std::vector<Address> gateways;
    for (const auto& it : arguments.list("--gateway"))
        gateways.push_back(requireAddress(it));
    auto key = readKey(arguments.text("--key-file"));
    if (arguments.flag("settings-reference")) {
        std::cout << settingsReference();
        return ExitCode::Success;
    }
    if (arguments.flag("check"))
        return checkDeclaration(arguments.text("FILE"), objects);
    if (arguments.flag("apply")) {
        auto base = arguments.text("--if-version");
        return applyDeclaration(arguments.text("FILE"), objects, base.empty() ? 0 : requireNumber("--if-version", base));
    }
    if (arguments.flag("delete"))
        return deleteObject(arguments.text("KIND"), arguments.text("NAME"), objects);
    if (arguments.flag("drain"))
        return drainInstance(arguments.text("INSTANCE"), objects);
    if (arguments.flag("get"))
        return getObjects(arguments.text("KIND"), arguments.text("NAME"), objects);
    if (arguments.flag("watch"))
        return watchConfiguration(objects, static_cast<unsigned>(requireNumber("--count", arguments.text("--count"))));
    if (arguments.flag("status"))
        return showStatus(gateways, key, objects);
    if (arguments.flag("report"))
        return reportBurn(arguments.list("--log"), arguments.text("--page"), burnOptions(arguments));
    if (arguments.flag("explain") && !arguments.list("--log").empty())
        return explainFromLogs(arguments.list("--log"), arguments.text("REQUEST"));
    if (arguments.flag("explain"))
        return explainRequest(gateways, key, arguments.text("REQUEST"));
    if (arguments.flag("chat"))
        return callChat(gateways, key, arguments.text("SERVICE"), arguments.text("PROMPT"), static_cast<unsigned>(requireNumber("--max-tokens", arguments.text("--max-tokens"))));
    return callPlain(gateways, key, arguments.text("SERVICE"), arguments.text("PATH"), arguments.text("BODY"), arguments.flag("--once"));
}

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    return static_cast<int>(run(arguments));
}
