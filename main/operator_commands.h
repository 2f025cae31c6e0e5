// Commands of the operator's command-line program `onyxnotch`. Results go to standard output, errors to standard error.
// Each command returns the exit code of the process.
#pragma once

#include "core/command_line.h"
#include "core/net/address.h"
#include "modules/report/burn_report.h"
#include <string>
#include <vector>

namespace Onyxnotch {

// Validates a declaration file against the schema and then the rules. If `objects` (address of the object API) is set, the rules are
// checked on the current configuration with the file applied, otherwise on the file alone.
ExitCode checkDeclaration(const std::string& path, const Address& objects);
// Validates a declaration file and commits it as one change. Fails with a conflict if one of its objects was changed after `baseVersion`;
// 0 stands for the version that is current when the command starts.
ExitCode applyDeclaration(const std::string& path, const Address& objects, std::uint64_t baseVersion);
// Deletes a declared object. Refused if the remaining configuration would break a rule.
ExitCode deleteObject(const std::string& kind, const std::string& name, const Address& objects);
// Takes an instance out of service by declaring a Drain object for it. Deleting that object puts it back into service.
ExitCode drainInstance(const std::string& instance, const Address& objects);
// Prints declared objects as JSON: all of them, those of a kind, or a single one. Empty strings select everything.
ExitCode getObjects(const std::string& kind, const std::string& name, const Address& objects);
// Prints each new configuration change as it is accepted; ends after `count` changes.
ExitCode watchConfiguration(const Address& objects, unsigned count);
// Prints a gateway's status as JSON, with the placement plan if `objects` is set.
ExitCode showStatus(const std::vector<Address>& gateways, const std::string& key, const Address& objects);
// Reconstructs from log files of entry nodes what happened to a request, and why.
ExitCode explainFromLogs(const std::vector<std::string>& paths, const std::string& requestId);
// Reports from log files how fast routes and teams consume their error budget. Prints text; also writes an HTML page if `pagePath` is set.
ExitCode reportBurn(const std::vector<std::string>& logs, const std::string& pagePath, const BurnOptions&);
// Prints a gateway's explanation of a request as JSON.
ExitCode explainRequest(const std::vector<Address>& gateways, const std::string& key, const std::string& requestId);
// Sends a prompt to a model service, as a client would, and streams the answer to standard output.
ExitCode callChat(const std::vector<Address>& gateways, const std::string& key, const std::string& service, const std::string& prompt, unsigned maximumTokens);
// Sends a request to a plain service. `once`: the call must not be executed more than once.
ExitCode callPlain(const std::vector<Address>& gateways, const std::string& key, const std::string& service, const std::string& path, const std::string& body, bool once);

} // namespace Onyxnotch
