#include "cardamomstream/process/event_explain.h"
#include "cardamomstream/process/event_merge.h"
#include "cardamomstream/process/event_render.h"

#include <algorithm>
#include <map>
#include <random>
#include <sstream>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cardamomstream;

namespace {

const std::chrono::system_clock::time_point start{std::chrono::seconds{1'700'000'000}};

event make_event(const std::string& vm, std::uint64_t sequence, int wall_ms, event_kind kind,
                 std::optional<event_ref> cause = {})
{
    event value;
    value.ref = {vm_name{vm}, incarnation{1}, sequence};
    value.wall = start + std::chrono::milliseconds{wall_ms};
    value.kind = kind;
    value.request = request_id{"r-1"};
    value.cause = std::move(cause);
    return value;
}

/// A request that riga-a forwards to kurzeme-a, whose clock is 500 ms behind.
std::vector<event> forwarded_request()
{
    std::vector<event> events{
        make_event("riga-a", 1, 1000, event_kind::request_received),
        make_event("riga-a", 2, 1001, event_kind::request_forwarded),
        make_event("kurzeme-a", 1, 581, event_kind::forward_received,
                   event_ref{vm_name{"riga-a"}, incarnation{1}, 2}),
        make_event("kurzeme-a", 2, 590, event_kind::request_finished),
        make_event("riga-a", 3, 1200, event_kind::request_finished,
                   event_ref{vm_name{"kurzeme-a"}, incarnation{1}, 2}),
    };
    events[1].fields = {{"region", std::string{"kurzeme"}}, {"predicted_ms", 180.5}};
    events[4].fields = {{"note", std::string{"two words\n"}}};
    return events;
}

std::vector<event_ref> refs_of(const std::vector<timeline_entry>& timeline)
{
    std::vector<event_ref> refs;
    refs.reserve(timeline.size());
    for (const auto& entry : timeline) {
        refs.push_back(entry.value.ref);
    }
    return refs;
}

/// Events of three processes whose clocks differ by up to a second; messages between them at random.
std::vector<event> random_history(std::mt19937_64& random)
{
    const std::vector<std::string> vms{"a", "b", "c"};
    std::map<std::string, int> skew;
    std::map<std::string, std::uint64_t> sequences;
    for (const auto& vm : vms) {
        skew[vm] = static_cast<int>(random() % 1000);
    }
    std::vector<event> events;
    for (int now_ms = 0; now_ms < 60; ++now_ms) {
        const auto& vm = vms[random() % vms.size()];
        std::optional<event_ref> cause;
        if (!events.empty() && random() % 2 == 0) {
            cause = events[random() % events.size()].ref;
        }
        events.push_back(
            make_event(vm, ++sequences[vm], now_ms + skew[vm], event_kind::loan_asked, std::move(cause)));
    }
    return events;
}

bool keeps_causal_order(const std::vector<timeline_entry>& timeline)
{
    std::map<event_ref, std::chrono::system_clock::time_point> seen;
    std::map<vm_name, std::uint64_t> last;
    for (const auto& [value, shown_at] : timeline) {
        if (value.ref.sequence != ++last[value.ref.vm]) {
            return false;
        }
        if (value.cause && (!seen.contains(*value.cause) || seen[*value.cause] > shown_at)) {
            return false;
        }
        seen.emplace(value.ref, shown_at);
    }
    return true;
}

} // namespace

TEST_CASE("events of several processes merge in causal order although their clocks differ")
{
    auto events = forwarded_request();
    const auto timeline = merge_events(events);
    const auto expected = refs_of(timeline);

    SECTION("an event stands after its cause")
    {
        REQUIRE(timeline.size() == 5);
        CHECK(timeline[0].value.kind == event_kind::request_received);
        CHECK(timeline[2].value.kind == event_kind::forward_received);
        CHECK(timeline[2].shown_at == timeline[1].shown_at);
        CHECK(timeline[4].value.ref.vm == vm_name{"riga-a"});
    }
    SECTION("the order of the input and duplicates change nothing")
    {
        std::reverse(events.begin(), events.end());
        events.push_back(events.front());
        CHECK(refs_of(merge_events(events)) == expected);
    }
    SECTION("a cause that is not known orders nothing")
    {
        events.erase(events.begin() + 1);
        CHECK(merge_events(events).front().value.ref.vm == vm_name{"kurzeme-a"});
    }
    SECTION("forged causes in a circle lose no event")
    {
        events[0].cause = events[4].ref;
        CHECK(merge_events(events).size() == 5);
    }
}

TEST_CASE("random histories merge in causal order")
{
    // A fixed seed, so that the verdict is the same each time.
    rc::detail::TestParams parameters;
    parameters.seed = 20'261'203;
    parameters.maxSuccess = 200;
    const auto outcome = rc::detail::checkTestable(
        [](std::uint64_t seed) {
            std::mt19937_64 random{seed};
            auto events = random_history(random);
            const auto count = events.size();
            std::shuffle(events.begin(), events.end(), random);
            const auto timeline = merge_events(std::move(events));
            RC_ASSERT(timeline.size() == count);
            RC_ASSERT(keeps_causal_order(timeline));
        },
        rc::detail::TestMetadata{}, parameters);
    std::ostringstream message;
    rc::detail::printResultMessage(outcome, message);
    INFO(message.str());
    CHECK(outcome.is<rc::detail::SuccessResult>());
}

TEST_CASE("a time line is shown as text and as a Chrome trace")
{
    const auto timeline = merge_events(forwarded_request());

    SECTION("text has one line for each event")
    {
        const std::string text = render_text(timeline);
        CHECK(std::count(text.begin(), text.end(), '\n') == 5);
        CHECK(text.find("2023-11-14T22:13:21.001Z riga-a#2 request_forwarded request=r-1 region=kurzeme "
                        "predicted_ms=180.5\n") != std::string::npos);
        CHECK(text.find("forward_received request=r-1 after=riga-a#2\n") != std::string::npos);
        CHECK(text.find("note=\"two words\\n\"") != std::string::npos);
    }
    SECTION("the trace names processes and has a span for each of them and an arrow for each cause")
    {
        const auto document = boost::json::parse(render_trace(timeline));
        std::map<std::string, int> phases;
        for (const auto& record : document.at("traceEvents").as_array()) {
            ++phases[std::string{record.at("ph").as_string()}];
        }
        CHECK(phases ==
              std::map<std::string, int>{{"M", 2}, {"i", 5}, {"b", 2}, {"e", 2}, {"s", 2}, {"f", 2}});
    }
}

TEST_CASE("the decisions for one request can be explained")
{
    auto events = forwarded_request();
    events[3].request = request_id{"r-2"};
    const auto timeline = merge_events(events);

    const auto lines = explain_request(timeline, request_id{"r-1"});
    REQUIRE(lines);
    REQUIRE(lines.value().size() == 4);
    CHECK(lines.value()[0] == "+0.0 ms  riga-a received the request");
    CHECK(lines.value()[1] ==
          "+1.0 ms  riga-a forwarded it to another VM: region=kurzeme predicted_ms=180.5");
    CHECK(lines.value()[3].find("+200.0 ms  riga-a finished it") == 0);

    CHECK(explain_request(timeline, request_id{"r-3"}).error().kind == error_kind::not_found);
    CHECK_FALSE(explain_request(timeline, request_id{}));
}
