#include "commands.h"

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/connection/traffic_thread.h"
#include "cardamomstream/process/event_codec.h"
#include "cardamomstream/process/event_explain.h"
#include "cardamomstream/process/event_merge.h"
#include "cardamomstream/process/event_render.h"
#include "cardamomstream/version/endpoint_text.h"

#include <future>

#include <fmt/format.h>

namespace cardamomstream {

namespace {

constexpr std::size_t max_page_bytes = 16 * 1024 * 1024;

result<std::vector<event>> read_events(http_client& client, const endpoint& operators)
{
    std::vector<event> events;
    for (std::uint64_t since = 0;;) {
        http_call call;
        call.address = operators;
        call.target = fmt::format("/events?since={}", since);
        cancellation unused;
        BOOST_OUTCOME_TRY(const auto answer, client.fetch(call, unused, max_page_bytes));
        BOOST_OUTCOME_TRY(auto page, read_event_page(answer.body));
        if (page.events.empty()) {
            return events;
        }
        std::move(page.events.begin(), page.events.end(), std::back_inserter(events));
        since = page.next;
    }
}

/// The merged events of every process that answers; the others are named on standard error.
std::vector<timeline_entry> read_timeline(const std::vector<std::string>& operators)
{
    traffic_thread thread;
    std::promise<std::vector<event>> collected;
    thread.spawn([&] {
        http_client client(thread.io(), {});
        std::vector<event> all;
        for (const auto& text : operators) {
            const auto address = parse_endpoint(text);
            if (!address) {
                std::cerr << "cardamomstream: \"" << text
                          << "\" is no IP:PORT; give an operators' listener\n";
                continue;
            }
            auto events = read_events(client, *address);
            if (!events) {
                report(events.error(), exit_failed);
                continue;
            }
            std::move(events.value().begin(), events.value().end(), std::back_inserter(all));
        }
        collected.set_value(std::move(all));
    });
    return merge_events(collected.get_future().get());
}

void add_sources(cxxopts::Options& options)
{
    options.add_options()("from", "operators' listeners, separated by commas",
                          cxxopts::value<std::vector<std::string>>(), "IP:PORT,...");
}

int missing_sources()
{
    std::cerr << "cardamomstream: --from IP:PORT is missing; give the operators' listeners of the VMs\n";
    return exit_usage;
}

} // namespace

int timeline_command(int argc, char** argv)
{
    cxxopts::Options options("cardamomstream timeline",
                             "Merges the events of several processes in causal order.");
    add_sources(options);
    options.add_options()("format", "text or trace (Chrome trace JSON)",
                          cxxopts::value<std::string>()->default_value("text"), "FORMAT");
    return run_command(options, argc, argv, [&](const cxxopts::ParseResult& parsed) {
        if (parsed.count("from") == 0) {
            return missing_sources();
        }
        const auto format = parsed["format"].as<std::string>();
        if (format != "text" && format != "trace") {
            std::cerr << "cardamomstream: unknown format \"" << format << "\"; use text or trace\n";
            return exit_usage;
        }
        const auto timeline = read_timeline(parsed["from"].as<std::vector<std::string>>());
        std::cout << (format == "text" ? render_text(timeline) : render_trace(timeline));
        return timeline.empty() ? exit_failed : exit_ok;
    });
}

int explain_command(int argc, char** argv)
{
    cxxopts::Options options("cardamomstream explain", "Tells what was decided for one request, and why.");
    options.positional_help("REQUEST_ID");
    add_sources(options);
    options.add_options()("request", "identity of the request, from the answer's X-Request-Id",
                          cxxopts::value<std::string>(), "REQUEST_ID");
    options.parse_positional({"request"});
    return run_command(options, argc, argv, [&](const cxxopts::ParseResult& parsed) {
        if (parsed.count("from") == 0) {
            return missing_sources();
        }
        if (parsed.count("request") == 0) {
            std::cerr << "cardamomstream: the request is missing; give the X-Request-Id of its answer\n";
            return exit_usage;
        }
        const auto timeline = read_timeline(parsed["from"].as<std::vector<std::string>>());
        const auto lines = explain_request(timeline, request_id{parsed["request"].as<std::string>()});
        if (!lines) {
            return report(lines.error(), exit_failed);
        }
        for (const auto& line : lines.value()) {
            std::cout << line << "\n";
        }
        return exit_ok;
    });
}

} // namespace cardamomstream
