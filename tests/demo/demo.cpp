#include "demo.h"

#include "gateway_calls.h"

#include <algorithm>
#include <array>
#include <exception>
#include <functional>
#include <iostream>
#include <sstream>
#include <utility>

namespace cardamomstream::demo {

using namespace test_support;

namespace {

constexpr std::chrono::seconds tool_limit{10};
constexpr std::size_t timeline_lines = 40;
constexpr std::size_t explain_lines = 40;
const std::string submitted = R"({"declaration":"2026-Q4","lines":3})";

void say(const std::string& text)
{
    std::cout << "  " << text << '\n';
}

bool fail(const std::string& why)
{
    say("FAILED: " + why);
    return false;
}

/// A step that throws has failed.
bool attempt(const std::function<bool()>& step)
{
    try {
        return step();
    }
    catch (const std::exception& failure) {
        return fail(failure.what());
    }
}

void say_refusal(const answer& refusal)
{
    say(std::to_string(refusal.status) + " " + refusal.error_code() + " (" + refusal.error_outcome() +
        "): " + refusal.error_text("message") + "; " + refusal.error_text("remedy"));
}

} // namespace

demo::demo(fleet& fleet)
    : m_fleet(fleet)
{
}

bool demo::ask_entry()
{
    const auto entry = send_once(m_fleet.entry("riga-a"), {"GET", "/v1/entry", "", keys::carrier, {}});
    if (!entry || entry.value().status != 200) {
        return fail("riga-a does not answer GET /v1/entry");
    }
    const boost::json::value body = entry.value().json();
    for (const auto& vm : body.at("entries").as_array()) {
        say(boost::json::serialize(vm));
    }
    m_ticket = ticket_in_entry(entry.value(), "submit");
    return m_ticket.empty() ? fail("the answer holds no ticket for the route submit") : true;
}

bool demo::stream_completion()
{
    constexpr int tokens = 8;
    http_caller caller(m_fleet.entry("riga-b"));
    const auto head = caller.begin(chat_call(keys::carrier, "weighbridge", tokens, true));
    if (!head || head.value().status != 200) {
        return fail("no stream begins");
    }
    const auto events = caller.all_events();
    if (!events || !is_whole_stream(events.value(), "weighbridge", tokens)) {
        return fail("the stream is not whole");
    }
    say("request " + head.value().header("X-Request-Id") + ": " + std::to_string(tokens) + " tokens, then " +
        events.value().back());
    return true;
}

bool demo::submit_once()
{
    const auto bare = send_once(m_fleet.entry("riga-a"), submission(keys::carrier, submitted, ""));
    if (!bare || bare.value().status != 428) {
        return fail("a submission without a ticket is not answered with 428");
    }
    say("without a ticket:");
    say_refusal(bare.value());
    const call guarded = submission(keys::carrier, submitted, m_ticket);
    const auto first = send_once(m_fleet.entry("riga-a"), guarded);
    const auto second = send_once(m_fleet.entry("kurzeme-a"), guarded);
    if (!first || first.value().status != 201) {
        return fail("the submission with a ticket does not run");
    }
    m_explained_request = first.value().header("X-Request-Id");
    say("with a ticket: " + std::to_string(first.value().status) + " " + first.value().body);
    if (second) {
        say("the same ticket at kurzeme-a: " + std::to_string(second.value().status) + " " +
            second.value().body);
    }
    const int runs = m_fleet.runs_of(submitted);
    say("runs at the service: " + std::to_string(runs));
    return runs == 1 ? true : fail("the submission ran " + std::to_string(runs) + " times");
}

bool demo::show_residency()
{
    const auto refused = send_once(m_fleet.entry("riga-a"), {"GET", "/filing/status", "", keys::bound, {}});
    if (!refused || refused.value().error_code() != "no_permitted_region") {
        return fail("a customer bound to kurzeme is not kept out of riga");
    }
    say_refusal(refused.value());
    return true;
}

bool demo::run_tool(const std::string& name, std::vector<std::string> arguments, std::size_t max_lines)
{
    arguments.insert(arguments.begin(), m_fleet.plan().programs.gateway);
    for (const auto& vm : m_fleet.plan().vms) {
        arguments.insert(arguments.end(), {"--from", m_fleet.operators(vm.name).str()});
    }
    child_process tool(arguments, m_fleet.directory() / (name + ".out"));
    const auto status = tool.wait(tool_limit);
    std::istringstream output(tool.log_text());
    std::string line;
    for (std::size_t count = 0; count < max_lines && std::getline(output, line); ++count) {
        say(line);
    }
    return status == 0 ? true : fail(name + " did not exit with 0");
}

bool demo::show_timeline()
{
    return run_tool("timeline", {"timeline"}, timeline_lines);
}

bool demo::explain_request()
{
    return run_tool("explain", {"explain", m_explained_request}, explain_lines);
}

bool demo::stop()
{
    const auto failed = m_fleet.stop();
    for (const auto& name : failed) {
        say(name + " did not stop with exit status 0");
    }
    return failed.empty();
}

bool demo::run()
{
    const std::array<std::pair<const char*, std::function<bool()>>, 7> steps{{
        {"Ask which VMs to use", [this] { return ask_entry(); }},
        {"Stream one chat completion", [this] { return stream_completion(); }},
        {"Submit once, and try to submit twice", [this] { return submit_once(); }},
        {"Keep a customer's data in its region", [this] { return show_residency(); }},
        {"Merge the time lines of all VMs", [this] { return show_timeline(); }},
        {"Explain the submission", [this] { return explain_request(); }},
        {"Stop every process", [this] { return stop(); }},
    }};
    bool all = true;
    for (const auto& [title, step] : steps) {
        std::cout << title << std::endl;
        all = attempt(step) && all;
    }
    return all;
}

} // namespace cardamomstream::demo
