#include "modules/report/request_account.h"

#include <algorithm>
#include <map>
#include <set>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    std::string textOf(const LogLine& line, const char* name) { return line.fields.value(name, std::string()); }
    long numberOf(const LogLine& line, const char* name) { return line.fields.value(name, 0L); }

    // Sentences for the outcomes that the request's line can name.
    const std::map<std::string, std::string>& causes()
    {
        static const std::map<std::string, std::string> sentences {
            { "team_limit", "Its team was at its limit over all nodes; nothing was sent. See the team's other lines of the seconds before." },
            { "no_route", "The configuration in force on that node has no route for its host and path." },
            { "unknown_key", "The configuration in force on that node does not know its key." },
            { "no_configuration", "The node had just started and knew no configuration yet." },
            { "no_service", "Its route names a service that the configuration does not declare." },
            { "no_memory", "The node held as many bytes of requests as it may." },
            { "blocked", "Endpoints have ended under this same request, whatever its id; no node sends it on." },
            { "one_at_a_time", "Endpoints have ended under this same request, and another one of it was running at this node." },
            { "no_endpoint", "No endpoint was listed, or none could be connected to; it has not run." },
            { "endpoints_rest", "Every endpoint of the service that could run it had turned this node away and asked for rest; it has not run." },
            { "endpoints_limited", "Every endpoint of the service that could run it had named how much it takes, and that was used up for the moment; it has not run." },
            { "endpoint_refused", "The endpoints that were tried said that they did not run it." },
            { "endpoint_broke", "An endpoint's answer broke, and the request may have run there." },
            { "endpoint_failed", "The endpoint answered with a failure of its own, which was passed on." },
            { "out_of_time", "Its time was over before an endpoint had answered." },
            { "stream_cut", "The endpoint's stream broke after a part had been passed on, and it could not be resumed." },
            { "caller_left", "The caller closed its connection first." },
            { "answered", "It was answered." },
            { "streamed", "It was answered with a whole stream." },
        };
        return sentences;
    }

    bool isSuccess(const std::string& outcome) { return outcome == "answered" || outcome == "streamed"; }

    class Account {
    public:
        Account(const ParsedLog& log, const std::string& requestId, const AccountOptions& options)
            : m_log(log)
            , m_options(options)
        {
            for (const auto& it : log.lines) {
                if (textOf(it, "request_id") == requestId)
                    m_own.push_back(&it);
            }
            std::stable_sort(m_own.begin(), m_own.end(), [](const auto* left, const auto* right) { return left->milliseconds < right->milliseconds; });
        }

        std::string text()
        {
            if (m_own.empty())
                return {};
            m_from = m_own.front()->milliseconds;
            m_until = m_own.back()->milliseconds;
            addStateBefore();
            addOwnLines();
            addEndpoints();
            addSameRequest();
            addRests();
            addLimits();
            addCause();
            return m_text;
        }

    private:
        void add(const LogLine& line, const std::string& words)
        {
            auto offset = static_cast<long>(line.milliseconds) - static_cast<long>(m_from);
            m_text += (offset < 0 ? "" : "+") + std::to_string(offset) + " ms  " + line.instance + "  " + words + "\n";
        }

        // What the request's node had last said of its configuration and of the store.
        void addStateBefore()
        {
            for (const auto& events : { std::set<std::string> { "configuration_in_force" }, std::set<std::string> { "store_lost", "store_regained", "store_reached" } }) {
                const LogLine* last = nullptr;
                for (const auto& it : m_log.lines) {
                    bool before = it.instance == m_own.front()->instance && events.contains(it.event) && it.milliseconds <= m_from;
                    if (before && (!last || it.milliseconds >= last->milliseconds))
                        last = &it;
                }
                if (last)
                    add(*last, last->event + (last->event == "configuration_in_force" ? " version " + std::to_string(numberOf(*last, "version")) + ", from " + textOf(*last, "source") : ""));
            }
        }

        void addOwnLines()
        {
            for (const auto* it : m_own) {
                auto endpoint = textOf(*it, "endpoint");
                if (!endpoint.empty())
                    m_endpoints.insert(endpoint);
                if (m_digest.empty())
                    m_digest = textOf(*it, "digest");
                if (it->event == "try_failed")
                    add(*it, "try " + std::to_string(numberOf(*it, "try")) + " at " + endpoint + " ended: " + textOf(*it, "end") + " after " + std::to_string(numberOf(*it, "ms")) + " ms (expected " + std::to_string(numberOf(*it, "expected_ms")) + " ms), " + std::to_string(numberOf(*it, "events")) + " events passed on");
                else if (it->event == "request")
                    addEnd(*it);
                else
                    add(*it, it->event);
            }
        }

        void addEnd(const LogLine& line)
        {
            m_end = &line;
            add(line, "ended: " + textOf(line, "outcome") + ", status " + std::to_string(numberOf(line, "status")) + " after " + std::to_string(numberOf(line, "ms")) + " ms; route " + textOf(line, "route") + ", team " + textOf(line, "team") + ", configuration " + std::to_string(numberOf(line, "configuration")) + ", tries " + std::to_string(numberOf(line, "tries")));
            if (!textOf(line, "endpoint").empty())
                m_text += "    chosen by " + textOf(line, "choice") + ": expected " + std::to_string(numberOf(line, "expected_ms")) + " ms, " + std::to_string(numberOf(line, "uncached_tokens")) + " tokens to read, "
                    + std::to_string(numberOf(line, "waiting_tokens")) + " waiting before it; first event after " + std::to_string(numberOf(line, "first_event_ms")) + " ms\n";
        }

        // One line for each thing that happened, though many nodes tell it.
        void addEndpoints()
        {
            std::set<std::string> told;
            for (const auto& it : m_log.lines) {
                bool near = it.milliseconds + m_options.contextMilliseconds >= m_from && it.milliseconds <= m_until + m_options.contextMilliseconds;
                bool about = (it.event == "endpoint_listed" || it.event == "endpoint_gone") && m_endpoints.contains(textOf(it, "endpoint"));
                if (!near || !about)
                    continue;
                auto words = textOf(it, "endpoint") + (it.event == "endpoint_gone" ? " gone" : numberOf(it, "leaving") != 0 ? " leaving"
                                                                                                                            : " listed");
                if (told.insert(words).second)
                    add(it, words);
            }
        }

        // Tries of the same request under other ids, at endpoints that broke under it.
        void addSameRequest()
        {
            if (m_digest.empty())
                return;
            for (const auto& it : m_log.lines) {
                bool same = textOf(it, "digest") == m_digest && std::find(m_own.begin(), m_own.end(), &it) == m_own.end();
                auto end = textOf(it, "end");
                if (same && it.event == "try_failed" && (end == "broken" || end == "stream_broken"))
                    add(it, "the same request, as " + textOf(it, "request_id") + ", ended at " + textOf(it, "endpoint") + ": " + end);
                else if (same && it.event == "request_blocked")
                    add(it, "the same request is blocked, after " + std::to_string(numberOf(it, "ended_endpoints")) + " endpoints ended under it");
            }
        }

        // What endpoints had asked of the request's node, as far as it still held when the request was refused.
        void addRests()
        {
            if (!m_end || textOf(*m_end, "outcome") != "endpoints_rest")
                return;
            for (const auto& it : m_log.lines) {
                auto rest = numberOf(it, "rest_ms");
                bool holds = it.event == "endpoint_notice" && it.instance == m_end->instance && it.milliseconds <= m_end->milliseconds && it.milliseconds + std::max(0L, rest) > m_end->milliseconds;
                if (holds)
                    add(it, textOf(it, "endpoint") + " turned the node away and wants nothing from it for " + std::to_string(rest) + " ms");
            }
        }

        // What endpoints take, as some node had heard it last before the request was refused.
        void addLimits()
        {
            if (!m_end || textOf(*m_end, "outcome") != "endpoints_limited")
                return;
            std::map<std::string, const LogLine*> last;
            for (const auto& it : m_log.lines) {
                auto& known = last[textOf(it, "endpoint")];
                bool isLater = it.event == "endpoint_limit" && it.milliseconds <= m_end->milliseconds && (!known || it.milliseconds >= known->milliseconds);
                known = isLater ? &it : known;
            }
            for (const auto& [endpoint, line] : last) {
                auto perSecond = line ? line->fields.value("per_s", -1.0) : -1.0;
                if (perSecond >= 0)
                    add(*line, endpoint + " takes " + nlohmann::json(perSecond).dump() + " a second from all nodes together");
            }
        }

        void addCause()
        {
            if (!m_end) {
                m_text += "Cause: no line tells its end: the process ended first, or the line was left out (request_lines_left_out).\n";
                return;
            }
            auto outcome = textOf(*m_end, "outcome");
            auto known = causes().find(outcome);
            m_text += "Cause: " + (known == causes().end() ? outcome : known->second);
            bool endpointWent = m_text.find(" leaving\n") != std::string::npos || m_text.find(" gone\n") != std::string::npos;
            if (!isSuccess(outcome) && endpointWent)
                m_text += " An endpoint that it was sent to was being taken away or died around then.";
            m_text += "\n";
        }

        const ParsedLog& m_log;
        AccountOptions m_options;
        std::vector<const LogLine*> m_own {};
        const LogLine* m_end { nullptr };
        std::string m_digest {}; // Of the request; empty in logs that name none.
        std::set<std::string> m_endpoints {};
        std::uint64_t m_from { 0 };
        std::uint64_t m_until { 0 };
        std::string m_text {};
    };

} // namespace

void parseLog(const std::string& text, ParsedLog& log)
{
    for (std::size_t at = 0; at < text.size();) {
        auto end = std::min(text.find('\n', at), text.size());
        auto line = text.substr(at, end - at);
        at = end + 1;
        auto brace = line.find('{');
        if (brace == std::string::npos) {
            log.skipped += line.empty() ? 0 : 1;
            continue;
        }
        auto fields = Json::parse(line.substr(brace), nullptr, false);
        bool usable = fields.is_object() && fields.contains("time_ms") && fields["time_ms"].is_number_unsigned() && fields.contains("event") && fields["event"].is_string();
        if (!usable) {
            ++log.skipped;
            continue;
        }
        LogLine parsed { .milliseconds = fields["time_ms"], .instance = fields.value("instance", ""), .event = fields["event"] };
        parsed.fields = std::move(fields);
        log.lines.push_back(std::move(parsed));
    }
}

std::string requestAccount(const ParsedLog& log, const std::string& requestId, const AccountOptions& options) { return Account(log, requestId, options).text(); }

} // namespace Onyxnotch
