#include "main/operator_commands.h"

#include "core/digest.h"
#include "core/file.h"
#include "core/json_schema.h"
#include "core/net/http_client.h"
#include "modules/client/client.h"
#include "modules/declaration/configuration_store.h"
#include "modules/placement/placement_plan.h"
#include "modules/report/request_timeline.h"
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned operationIdBytes = 16;
    constexpr unsigned watchWaitMilliseconds = 5000;

    ExitCode exitCodeOf(const Error& error)
    {
        switch (error.code) {
        case ErrorCode::InvalidArgument:
            return ExitCode::Refused;
        case ErrorCode::Conflict:
            return ExitCode::Conflict;
        case ErrorCode::Unavailable:
        case ErrorCode::Exhausted:
            return ExitCode::Unavailable;
        case ErrorCode::Ambiguous:
        case ErrorCode::Disconnected:
            return ExitCode::Unknown;
        case ErrorCode::NotFound:
        case ErrorCode::Unauthorized:
        case ErrorCode::Stopped:
            return ExitCode::Failed;
        }
        return ExitCode::Failed;
    }

    ExitCode fail(const Error& error)
    {
        std::cerr << error.message << std::endl;
        return exitCodeOf(error);
    }

    ExitCode exitCodeOf(RequestOutcome outcome)
    {
        switch (outcome) {
        case RequestOutcome::Completed:
            return ExitCode::Success;
        case RequestOutcome::NotRun:
            return ExitCode::Unavailable;
        case RequestOutcome::Running:
        case RequestOutcome::Unknown:
            return ExitCode::Unknown;
        case RequestOutcome::Failed:
            return ExitCode::Failed;
        }
        return ExitCode::Failed;
    }

    // Formats problems for the terminal, one per line.
    std::string formatProblems(const std::string& path, const std::vector<DeclarationProblem>& problems)
    {
        std::string text;
        for (const auto& it : problems)
            text += (text.empty() ? "" : "\n") + path + ": " + (it.pointer.empty() ? "/" : it.pointer) + ": " + it.reason;
        return text;
    }

    // Reads a declaration file. Errors: InvalidArgument with all problems, one per line.
    Result<Declaration> loadDeclaration(const std::string& path)
    {
        BOOST_OUTCOME_TRY(text, readFile(path));
        auto document = parseJson(text);
        if (!document)
            return Error { ErrorCode::InvalidArgument, path + ": /: " + document.error().message };
        std::vector<DeclarationProblem> problems;
        auto declaration = readDeclaration(document.value(), problems);
        if (!problems.empty())
            return Error { ErrorCode::InvalidArgument, formatProblems(path, problems) };
        return declaration;
    }

    // Builds the change that applies the declaration to the current configuration. Objects that would not change are left out.
    // Errors: InvalidArgument if the resulting configuration breaks a rule.
    Result<ConfigurationChange> buildChange(const std::string& path, const Declaration& declaration, const Configuration& current)
    {
        ConfigurationChange change { .version = current.version() + 1 };
        for (const auto& it : declaration.objects) {
            const auto* existing = current.find(it.name);
            if (!existing || existing->spec != it.spec || existing->labels != it.labels)
                change.upserts.push_back(it);
        }
        BOOST_OUTCOME_TRY(result, current.with(change));
        auto problems = checkRules(result, declaration);
        if (!problems.empty())
            return Error { ErrorCode::InvalidArgument, formatProblems(path, problems) };
        return change;
    }

    // Commits the change that `build` returns, and prints the new version.
    ExitCode commit(const Address& objects, std::uint64_t baseVersion, const ConfigurationStore::ChangeBuilder& build)
    {
        ObjectClient client({ .address = objects });
        auto result = ConfigurationStore(client).commit(randomHex(operationIdBytes), baseVersion, build);
        if (!result)
            return fail(result.error());
        std::cout << "version " << result.value().version << std::endl;
        return ExitCode::Success;
    }

    // Sends a GET request to one gateway after the other and returns the first successful JSON answer, otherwise the last error.
    Result<Json> queryGateways(const std::vector<Address>& gateways, const std::string& key, const std::string& path)
    {
        Error last { ErrorCode::Unavailable, "no gateway was specified" };
        for (const auto& it : gateways) {
            auto reply = sendHttp(it, { .path = path, .headers = { { "Authorization", "Bearer " + key } } });
            if (reply && reply.value().ok())
                return parseJson(reply.value().body);
            last = reply ? Error { ErrorCode::NotFound, it.text() + ": HTTP " + std::to_string(reply.value().status) + " " + reply.value().body } : reply.error();
        }
        return last;
    }

    // Prints the outcome of a request as JSON to standard error.
    void printOutcome(const ClientAnswer& answer)
    {
        std::cerr << Json { { "outcome", toString(answer.outcome) }, { "request_id", answer.requestId }, { "reason", answer.reason }, { "tries", answer.tries }, { "moves", answer.moves } }.dump() << std::endl;
    }

} // namespace

ExitCode checkDeclaration(const std::string& path, const Address& objects)
{
    auto declaration = loadDeclaration(path);
    if (!declaration)
        return fail(declaration.error());
    Configuration current;
    if (!objects.empty()) {
        ObjectClient client({ .address = objects });
        auto loaded = ConfigurationStore(client).load();
        if (!loaded)
            return fail(loaded.error());
        current = loaded.value();
    }
    auto change = buildChange(path, declaration.value(), current);
    if (!change)
        return fail(change.error());
    std::cout << path << ": valid, " << change.value().upserts.size() << " objects would change" << std::endl;
    return ExitCode::Success;
}

ExitCode applyDeclaration(const std::string& path, const Address& objects, std::uint64_t baseVersion)
{
    auto declaration = loadDeclaration(path);
    if (!declaration)
        return fail(declaration.error());
    return commit(objects, baseVersion, [&](const Configuration& current) { return buildChange(path, declaration.value(), current); });
}

ExitCode deleteObject(const std::string& kind, const std::string& name, const Address& objects)
{
    auto parsed = parseObjectKind(kind);
    if (!parsed)
        return fail(parsed.error());
    ObjectName object { .kind = parsed.value(), .name = name };
    return commit(objects, 0, [&](const Configuration& current) -> Result<ConfigurationChange> {
        if (!current.find(object))
            return Error { ErrorCode::NotFound, object.text() + " does not exist" };
        ConfigurationChange change { .version = current.version() + 1, .removals = { object } };
        BOOST_OUTCOME_TRY(result, current.with(change));
        auto problems = checkRules(result, {});
        if (!problems.empty())
            return Error { ErrorCode::InvalidArgument, formatProblems(object.text(), problems) };
        return change;
    });
}

ExitCode drainInstance(const std::string& instance, const Address& objects)
{
    DeclaredObject object { .name = { .kind = ObjectKind::Drain, .name = instance }, .spec = DrainSpec { .instance = instance } };
    return commit(objects, 0, [&](const Configuration& current) -> Result<ConfigurationChange> {
        return ConfigurationChange { .version = current.version() + 1, .upserts = { object } };
    });
}

ExitCode getObjects(const std::string& kind, const std::string& name, const Address& objects)
{
    ObjectClient client({ .address = objects });
    auto configuration = ConfigurationStore(client).load();
    if (!configuration)
        return fail(configuration.error());
    Json document { { "version", configuration.value().version() }, { "objects", Json::array() } };
    for (const auto& [objectName, object] : configuration.value().objects()) {
        bool isSelected = (kind.empty() || toString(objectName.kind) == kind) && (name.empty() || objectName.name == name);
        if (isSelected)
            document["objects"].push_back(objectToJson(object));
    }
    std::cout << document.dump(2) << std::endl;
    return !name.empty() && document["objects"].empty() ? ExitCode::Failed : ExitCode::Success;
}

ExitCode watchConfiguration(const Address& objects, unsigned count)
{
    ObjectClient client({ .address = objects });
    ConfigurationStore store(client);
    auto loaded = store.load();
    if (!loaded)
        return fail(loaded.error());
    auto version = loaded.value().version();
    auto initialBatch = client.watch(std::string(ConfigurationStore::changePrefix), ~std::uint64_t(0), Milliseconds(0));
    if (!initialBatch)
        return fail(initialBatch.error());
    auto revision = initialBatch.value().revision;
    for (unsigned printedChanges = 0; printedChanges < count;) {
        auto changes = store.changesAfter(version);
        if (!changes)
            return fail(changes.error());
        for (const auto& it : changes.value()) {
            std::cout << changeToJson(it).dump() << std::endl;
            version = it.version;
            ++printedChanges;
        }
        auto batch = client.watch(std::string(ConfigurationStore::changePrefix), revision, Milliseconds(watchWaitMilliseconds));
        if (!batch)
            return fail(batch.error());
        revision = batch.value().revision;
    }
    return ExitCode::Success;
}

ExitCode showStatus(const std::vector<Address>& gateways, const std::string& key, const Address& objects)
{
    auto status = queryGateways(gateways, key, "/v1/status");
    if (!status)
        return fail(status.error());
    if (!objects.empty()) {
        ObjectClient client({ .address = objects });
        auto plan = client.get("status/plan");
        if (plan && plan.value()) {
            auto parsed = planFromJson(plan.value()->value);
            if (parsed)
                status.value()["plan"] = planToJson(parsed.value());
        }
    }
    std::cout << status.value().dump(2) << std::endl;
    return ExitCode::Success;
}

namespace {

    Result<ParsedLog> readLogs(const std::vector<std::string>& paths)
    {
        ParsedLog log;
        for (const auto& path : paths) {
            BOOST_OUTCOME_TRY(text, readFile(path));
            parseLog(text, log);
        }
        return log;
    }

} // namespace

ExitCode explainFromLogs(const std::vector<std::string>& paths, const std::string& requestId)
{
    auto log = readLogs(paths);
    if (!log)
        return fail(log.error());
    auto account = requestTimeline(log.value(), requestId);
    if (account.empty())
        return fail({ ErrorCode::NotFound, "no log line mentions request " + requestId + " (" + std::to_string(log.value().lines.size()) + " lines read, " + std::to_string(log.value().skipped) + " could not be parsed)" });
    std::cout << account;
    return ExitCode::Success;
}

ExitCode reportBurn(const std::vector<std::string>& logs, const std::string& pagePath, const BurnOptions& options)
{
    auto log = readLogs(logs);
    if (!log)
        return fail(log.error());
    auto report = burnReport(log.value(), options);
    std::cout << burnReportText(report);
    if (pagePath.empty())
        return ExitCode::Success;
    std::ofstream page(pagePath);
    page << burnReportPage(report, options);
    if (!page.flush())
        return fail({ ErrorCode::Unavailable, "cannot write " + pagePath });
    return ExitCode::Success;
}

ExitCode explainRequest(const std::vector<Address>& gateways, const std::string& key, const std::string& requestId)
{
    auto explanation = queryGateways(gateways, key, "/v1/explain/" + requestId);
    if (!explanation)
        return fail(explanation.error());
    std::cout << explanation.value().dump(2) << std::endl;
    return ExitCode::Success;
}

ExitCode callChat(const std::vector<Address>& gateways, const std::string& key, const std::string& service, const std::string& prompt, unsigned maximumTokens)
{
    Client client({ .addresses = gateways, .key = key });
    auto refreshed = client.refreshAddresses();
    if (!refreshed)
        return fail(refreshed.error());
    auto answer = client.chat({ .service = service, .prompt = prompt, .maximumTokens = maximumTokens }, [](const std::string& text) { std::cout << text << std::flush; });
    std::cout << std::endl;
    printOutcome(answer);
    return exitCodeOf(answer.outcome);
}

ExitCode callPlain(const std::vector<Address>& gateways, const std::string& key, const std::string& service, const std::string& path, const std::string& body, bool once)
{
    Client client({ .addresses = gateways, .key = key });
    auto refreshed = client.refreshAddresses(once ? 1 : 0);
    if (!refreshed)
        return fail(refreshed.error());
    auto answer = client.call(service, path, body, !once);
    std::cout << answer.text << std::endl;
    printOutcome(answer);
    return exitCodeOf(answer.outcome);
}

} // namespace Onyxnotch
