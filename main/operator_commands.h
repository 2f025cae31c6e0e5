// The commands of the operators' program.
#pragma once

#include "core/command_line.h"
#include "core/net/address.h"
#include "modules/report/burn_report.h"
#include <string>
#include <vector>

namespace Onyxnotch {

// Checks a declaration file: the schema, then the rules. Without an object service only the file by itself.
ExitCode checkDeclaration(const std::string& path, const Address& objects);
// Checks it and commits it whole. `base` refuses objects that were changed after that version; 0: after the command began.
ExitCode applyDeclaration(const std::string& path, const Address& objects, std::uint64_t base);
ExitCode deleteObject(const std::string& kind, const std::string& name, const Address& objects);
// Puts an instance out of service, or back, by its Drain object.
ExitCode drainInstance(const std::string& instance, const Address& objects);
// All objects, those of a kind, or one.
ExitCode getObjects(const std::string& kind, const std::string& name, const Address& objects);
// Writes each new configuration version as it is accepted, up to `count`.
ExitCode watchConfiguration(const Address& objects, unsigned count);
ExitCode showStatus(const std::vector<Address>& gateways, const std::string& key, const Address& objects);
// From the logs of entry nodes: what happened to a request, and why.
ExitCode explainFromLogs(const std::vector<std::string>& paths, const std::string& requestId);
// How fast routes and teams use up their error budget, as text, and as a page where a path is given.
ExitCode reportBurn(const std::vector<std::string>& logs, const std::string& pagePath, const BurnOptions&);
ExitCode explainRequest(const std::vector<Address>& gateways, const std::string& key, const std::string& requestId);
// Calls as a caller: a model service.
ExitCode callChat(const std::vector<Address>& gateways, const std::string& key, const std::string& service, const std::string& prompt, unsigned maximumTokens);
// A plain service; `once` for a call that may not be repeated.
ExitCode callPlain(const std::vector<Address>& gateways, const std::string& key, const std::string& service, const std::string& path, const std::string& body, bool once);

} // namespace Onyxnotch
