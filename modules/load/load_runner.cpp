#include "modules/load/load_runner.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <thread>

namespace Onyxnotch {

namespace {

    constexpr std::size_t bytesPerToken = 4;
    constexpr double reportedPercentile = 0.95;

    double secondsSince(SteadyTime begin) { return std::chrono::duration<double>(steadyNow() - begin).count(); }

    double percentile95(std::vector<double>& values)
    {
        if (values.empty())
            return 0;
        auto rank = values.begin() + static_cast<std::ptrdiff_t>(reportedPercentile * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), rank, values.end());
        return *rank;
    }

    // One run of a trace. Each request runs on a thread of its own.
    class LoadRun {
    public:
        LoadRun(const LoadOptions& options, const std::vector<TraceRequest>& trace)
            : m_options(options)
            , m_trace(trace)
        {
        }

        LoadSummary run()
        {
            auto startedAt = steadyNow();
            for (std::size_t n = 0; n < m_trace.size(); ++n) {
                std::this_thread::sleep_until(startedAt + m_trace[n].at);
                start(n);
            }
            std::unique_lock lock(m_mutex);
            m_ended.wait(lock, [this] { return m_inFlight == 0; });
            m_summary.seconds = secondsSince(startedAt);
            m_summary.firstTokenP95 = percentile95(m_firstTokens);
            m_summary.betweenTokensP95 = percentile95(m_betweenTokens);
            m_summary.refusalP95 = percentile95(m_refusals);
            return m_summary;
        }

    private:
        void start(std::size_t n)
        {
            {
                std::lock_guard lock(m_mutex);
                if (m_inFlight >= m_options.maximumInFlight) {
                    ++m_summary.dropped;
                    return;
                }
                ++m_inFlight;
                ++m_summary.sent;
            }
            std::thread([this, n] {
                if (m_trace[n].kind == RequestKind::Release)
                    release(n);
                else
                    chat(n);
                std::lock_guard lock(m_mutex);
                --m_inFlight;
                m_ended.notify_all();
            }).detach();
        }

        Client clientFor(std::size_t n) const
        {
            ClientOptions options { .addresses = m_options.gateways, .key = m_options.teamKeys[m_trace[n].team % m_options.teamKeys.size()] };
            std::rotate(options.addresses.begin(), options.addresses.begin() + static_cast<std::ptrdiff_t>(n % options.addresses.size()), options.addresses.end());
            return Client(options);
        }

        void chat(std::size_t n)
        {
            const auto& request = m_trace[n];
            auto client = clientFor(n);
            auto startedAt = steadyNow();
            auto lastTextAt = startedAt;
            std::vector<double> gaps;
            auto answer = client.chat({ .service = m_options.modelService, .prompt = request.prompt, .maximumTokens = request.maximumTokens }, [&](const std::string& text) {
                // One piece of text may contain several tokens, counted by spaces. The time since the last piece is divided among them.
                auto tokens = std::max<std::ptrdiff_t>(1, std::count(text.begin(), text.end(), ' '));
                auto gap = secondsSince(lastTextAt);
                if (lastTextAt != startedAt)
                    gaps.insert(gaps.end(), static_cast<std::size_t>(tokens), gap / static_cast<double>(tokens));
                lastTextAt = steadyNow();
            });
            bool isCorrect = answer.outcome == RequestOutcome::Completed && (!m_options.verify || m_options.verify(request, answer.text));
            auto gap = percentile95(gaps);
            std::lock_guard lock(m_mutex);
            if (answer.outcome == RequestOutcome::NotRun) {
                ++m_summary.refused;
                m_refusals.push_back(secondsSince(startedAt));
                return;
            }
            if (!isCorrect) {
                ++m_summary.lost;
                return;
            }
            ++m_summary.completed;
            m_summary.tokens += request.prompt.size() / bytesPerToken + request.maximumTokens;
            m_summary.onTarget += answer.firstTextSeconds <= m_options.firstTokenTarget && gap <= m_options.betweenTokensTarget ? 1 : 0;
            m_firstTokens.push_back(answer.firstTextSeconds);
            m_betweenTokens.insert(m_betweenTokens.end(), gaps.begin(), gaps.end());
        }

        void release(std::size_t n)
        {
            auto client = clientFor(n);
            auto startedAt = steadyNow();
            auto answer = client.call(m_options.releaseService, "/release", m_trace[n].prompt, false);
            std::lock_guard lock(m_mutex);
            m_summary.releaseIds.push_back(answer.requestId);
            if (answer.outcome == RequestOutcome::Completed) {
                ++m_summary.completed;
                m_summary.onTarget += secondsSince(startedAt) <= m_options.firstTokenTarget ? 1 : 0;
            } else if (answer.outcome == RequestOutcome::NotRun) {
                ++m_summary.refused;
            } else {
                ++m_summary.unknown;
            }
        }

        const LoadOptions& m_options;
        const std::vector<TraceRequest>& m_trace;
        std::mutex m_mutex;
        std::condition_variable m_ended;
        unsigned m_inFlight { 0 };
        LoadSummary m_summary;
        std::vector<double> m_firstTokens;
        std::vector<double> m_betweenTokens;
        std::vector<double> m_refusals;
    };

} // namespace

LoadSummary runLoad(const LoadOptions& options, const std::vector<TraceRequest>& trace) { return LoadRun(options, trace).run(); }

} // namespace Onyxnotch
