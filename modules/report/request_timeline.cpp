#include "modules/report/request_timeline.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    std::string textField(const LogLine& line, const char* name) { return line.fields.value(name, std::string()); }
    long numberField(const LogLine& line, const char* name) { return line.fields.value(name, 0L); }

    std::string decimalField(const LogLine& line, const char* name)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.2f", line.fields.value(name, 1.0));
        return text;
    }

    // Explanations of the values of `outcome` in the log line of a request.
    const std::map<std::string, std::string>& causeSentences()
    {
        static const std::map<std::string, std::string> sentences {
            { "team_limit", "Its team was at its limit over all nodes; nothing was sent. See the team's other lines of the seconds before." },
            { "level", "Its service was short of capacity, and its priority was admitted only in part, as all nodes had agreed; nothing was sent." },
            { "team_share", "Its service was short of capacity, and its team asked for more than its fair share; nothing was sent." },
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
            { "no_place", "No endpoint had a free place and it could not get one in time; it has not run." },
            { "queue_full", "As many requests as may wait at the node were waiting, and all of them were to be served before it; it has not run." },
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

    class TimelineWriter {
    public:
        TimelineWriter(const ParsedLog& log, const std::string& requestId, const RequestTimelineOptions& options)
            : m_log(log)
            , m_options(options)
        {
            for (const auto& it : log.lines) {
                if (textField(it, "request_id") == requestId)
                    m_requestLines.push_back(&it);
            }
            std::stable_sort(m_requestLines.begin(), m_requestLines.end(), [](const auto* left, const auto* right) { return left->milliseconds < right->milliseconds; });
        }

        std::string text()
        {
            if (m_requestLines.empty())
                return {};
            m_startMilliseconds = m_requestLines.front()->milliseconds;
            m_endMilliseconds = m_requestLines.back()->milliseconds;
            addStateAtStart();
            addRequestLines();
            addEndpoints();
            addAttemptsOfSameContent();
            addBackoffs();
            addAdvertisedLimits();
            addCause();
            return m_text;
        }

    private:
        void add(const LogLine& line, const std::string& message)
        {
            auto offset = static_cast<long>(line.milliseconds) - static_cast<long>(m_startMilliseconds);
            m_text += (offset < 0 ? "" : "+") + std::to_string(offset) + " ms  " + line.instance + "  " + message + "\n";
        }

        // Adds the last lines before the request in which its node logged its configuration and the state of its connection to the store.
        void addStateAtStart()
        {
            for (const auto& events : { std::set<std::string> { "configuration_in_force" }, std::set<std::string> { "store_lost", "store_regained", "store_reached" } }) {
                const LogLine* last = nullptr;
                for (const auto& it : m_log.lines) {
                    bool isBefore = it.instance == m_requestLines.front()->instance && events.contains(it.event) && it.milliseconds <= m_startMilliseconds;
                    if (isBefore && (!last || it.milliseconds >= last->milliseconds))
                        last = &it;
                }
                if (last)
                    add(*last, last->event + (last->event == "configuration_in_force" ? " version " + std::to_string(numberField(*last, "version")) + ", from " + textField(*last, "source") : ""));
            }
        }

        void addRequestLines()
        {
            for (const auto* it : m_requestLines) {
                auto endpoint = textField(*it, "endpoint");
                if (!endpoint.empty())
                    m_endpoints.insert(endpoint);
                if (m_digest.empty())
                    m_digest = textField(*it, "digest");
                if (it->event == "try_failed")
                    add(*it, "try " + std::to_string(numberField(*it, "try")) + " at " + endpoint + " ended: " + textField(*it, "end") + " after " + std::to_string(numberField(*it, "ms")) + " ms (expected " + std::to_string(numberField(*it, "expected_ms")) + " ms), " + std::to_string(numberField(*it, "events")) + " events passed on");
                else if (it->event == "request")
                    addEndLine(*it);
                else
                    add(*it, it->event);
            }
        }

        void addEndLine(const LogLine& line)
        {
            m_endLine = &line;
            add(line, "ended: " + textField(line, "outcome") + ", status " + std::to_string(numberField(line, "status")) + " after " + std::to_string(numberField(line, "ms")) + " ms; route " + textField(line, "route") + ", team " + textField(line, "team") + ", configuration " + std::to_string(numberField(line, "configuration")) + ", tries " + std::to_string(numberField(line, "tries")));
            if (numberField(line, "in_turn") != 0)
                m_text += "    came in its turn\n";
            if (line.fields.value("retry_after_ms", -1L) >= 0)
                m_text += "    told to come back after " + std::to_string(numberField(line, "retry_after_ms")) + " ms" + (numberField(line, "in_turn") != 0 ? "" : "; had not come in its turn") + "\n";
            if (numberField(line, "queue_place") > 0)
                m_text += "    waited " + std::to_string(numberField(line, "queued_ms")) + " ms for a place; it was number " + std::to_string(numberField(line, "queue_place")) + " in the queue when it began to wait\n";
            auto outcome = textField(line, "outcome");
            if (outcome == "level" || outcome == "team_share")
                m_text += "    admitted with a chance of " + decimalField(line, "admission_chance") + " at priority " + std::to_string(numberField(line, "priority")) + "; the level was priority " + std::to_string(numberField(line, "level_priority")) + " with a chance of " + decimalField(line, "level_chance") + "\n";
            if (!textField(line, "endpoint").empty())
                m_text += "    chosen by " + textField(line, "choice") + ": expected " + std::to_string(numberField(line, "expected_ms")) + " ms, " + std::to_string(numberField(line, "uncached_tokens")) + " tokens to read, "
                    + std::to_string(numberField(line, "waiting_tokens")) + " waiting before it; first event after " + std::to_string(numberField(line, "first_event_ms")) + " ms\n";
        }

        // Adds the changes of the endpoints that the request was sent to. The same change logged by several nodes is added once.
        void addEndpoints()
        {
            std::set<std::string> added;
            for (const auto& it : m_log.lines) {
                bool isNear = it.milliseconds + m_options.contextMilliseconds >= m_startMilliseconds && it.milliseconds <= m_endMilliseconds + m_options.contextMilliseconds;
                bool isRelevant = (it.event == "endpoint_listed" || it.event == "endpoint_gone") && m_endpoints.contains(textField(it, "endpoint"));
                if (!isNear || !isRelevant)
                    continue;
                auto message = textField(it, "endpoint") + (it.event == "endpoint_gone" ? " gone" : numberField(it, "leaving") != 0 ? " leaving"
                                                                                                                                    : " listed");
                if (added.insert(message).second)
                    add(it, message);
            }
        }

        // Adds failed attempts of requests with the same content (digest) and other ids, in which an endpoint's answer broke off.
        void addAttemptsOfSameContent()
        {
            if (m_digest.empty())
                return;
            for (const auto& it : m_log.lines) {
                bool isSameContent = textField(it, "digest") == m_digest && std::find(m_requestLines.begin(), m_requestLines.end(), &it) == m_requestLines.end();
                auto end = textField(it, "end");
                if (isSameContent && it.event == "try_failed" && (end == "broken" || end == "stream_broken"))
                    add(it, "the same request, as " + textField(it, "request_id") + ", ended at " + textField(it, "endpoint") + ": " + end);
                else if (isSameContent && it.event == "request_blocked")
                    add(it, "the same request is blocked, after " + std::to_string(numberField(it, "ended_endpoints")) + " endpoints ended under it");
            }
        }

        // Adds the backoffs that endpoints had requested from the request's node and that were in effect when the request was refused.
        void addBackoffs()
        {
            if (!m_endLine || textField(*m_endLine, "outcome") != "endpoints_rest")
                return;
            for (const auto& it : m_log.lines) {
                auto backoff = numberField(it, "rest_ms");
                bool isInEffect = it.event == "endpoint_notice" && it.instance == m_endLine->instance && it.milliseconds <= m_endLine->milliseconds && it.milliseconds + std::max(0L, backoff) > m_endLine->milliseconds;
                if (isInEffect)
                    add(it, textField(it, "endpoint") + " turned the node away and wants nothing from it for " + std::to_string(backoff) + " ms");
            }
        }

        // Adds each endpoint's last advertised limit, as logged by any node before the request was refused.
        void addAdvertisedLimits()
        {
            if (!m_endLine || textField(*m_endLine, "outcome") != "endpoints_limited")
                return;
            std::map<std::string, const LogLine*> last;
            for (const auto& it : m_log.lines) {
                auto& known = last[textField(it, "endpoint")];
                bool isLater = it.event == "endpoint_limit" && it.milliseconds <= m_endLine->milliseconds && (!known || it.milliseconds >= known->milliseconds);
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
            if (!m_endLine) {
                m_text += "Cause: no line tells its end: the process ended first, or the line was left out (request_lines_left_out).\n";
                return;
            }
            auto outcome = textField(*m_endLine, "outcome");
            auto known = causeSentences().find(outcome);
            m_text += "Cause: " + (known == causeSentences().end() ? outcome : known->second);
            bool wasEndpointRemoved = m_text.find(" leaving\n") != std::string::npos || m_text.find(" gone\n") != std::string::npos;
            if (!isSuccess(outcome) && wasEndpointRemoved)
                m_text += " An endpoint that it was sent to was being taken away or died around then.";
            m_text += "\n";
        }

        const ParsedLog& m_log;
        RequestTimelineOptions m_options;
        std::vector<const LogLine*> m_requestLines {};
        const LogLine* m_endLine { nullptr };
        std::string m_digest {}; // Digest of the request's content; empty if the logs have none.
        std::set<std::string> m_endpoints {};
        std::uint64_t m_startMilliseconds { 0 };
        std::uint64_t m_endMilliseconds { 0 };
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
        bool isUsable = fields.is_object() && fields.contains("time_ms") && fields["time_ms"].is_number_unsigned() && fields.contains("event") && fields["event"].is_string();
        if (!isUsable) {
            ++log.skipped;
            continue;
        }
        LogLine parsed { .milliseconds = fields["time_ms"], .instance = fields.value("instance", ""), .event = fields["event"] };
        parsed.fields = std::move(fields);
        log.lines.push_back(std::move(parsed));
    }
}

std::string requestTimeline(const ParsedLog& log, const std::string& requestId, const RequestTimelineOptions& options) { return TimelineWriter(log, requestId, options).text(); }

} // namespace Onyxnotch
