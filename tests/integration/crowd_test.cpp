#include "crowd.h"
#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;
using namespace std::chrono_literals;

namespace {

// The crowd, and the process that it meets.
constexpr std::size_t max_memory_mb = 128;
constexpr std::size_t max_body_bytes = 1'048'576;
constexpr std::size_t max_connections = 400;
constexpr std::size_t max_descriptors = 1'024;
constexpr int uploads = 160;
constexpr std::size_t missing_bytes = 4'096; ///< of a body that stops short of its end
constexpr std::size_t large_chunk = 65'536;
constexpr std::size_t small_chunks_bytes = 262'144; ///< of a body in chunks of one byte
constexpr std::size_t endless_bytes = 2'097'152;
constexpr int silent_connections = 600;

/// For what the crowd has sent to be read and passed on, before the process is looked at.
constexpr auto crowd_time = 1s;

fleet_plan limited_vm()
{
    auto plan = one_region(programs(), 1);
    plan.settings = {"limits.max_body_bytes = " + std::to_string(max_body_bytes),
                     "limits.max_connections = " + std::to_string(max_connections),
                     "limits.header_timeout_ms = 3000"};
    return plan;
}

std::string head_of_upload(const std::string& framing)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer " + keys::carrier +
           "\r\nContent-Type: application/json\r\n" + framing + "\r\n\r\n";
}

std::vector<std::string> upload_in_chunks(std::size_t bytes)
{
    auto parts = chunks_without_end(bytes, large_chunk);
    parts.insert(parts.begin(), head_of_upload("Transfer-Encoding: chunked"));
    return parts;
}

/// A whole call whose prompt fills the body.
std::string whole_upload()
{
    const std::string before =
        R"({"model":"draft-small","max_tokens":3,"messages":[{"role":"user","content":")";
    const std::string after = R"("}]})";
    const auto body = before + std::string(max_body_bytes - before.size() - after.size(), 'x') + after;
    return head_of_upload("Content-Length: " + std::to_string(body.size())) + body;
}

void check_process(fleet& fleet)
{
    auto& vm = fleet.process("riga-a");
    REQUIRE(vm.running());
    CHECK(peak_memory_mb(vm.pid()) <= max_memory_mb);
    CHECK(open_descriptors(vm.pid()) <= max_descriptors);
}

void check_ordinary_call(fleet& fleet)
{
    const auto got = send_once(fleet.entry("riga-a"), open_call);
    REQUIRE(got);
    CHECK(got.value().status == 200);
}

/// Lets a crowd come, and checks the process and one ordinary call while it stays and after it has left.
void check_crowd(fleet& fleet, int members, const std::vector<std::string>& parts)
{
    crowd callers(fleet.entry("riga-a"));
    for (int member = 0; member < members; ++member) {
        callers.join(parts);
    }
    std::this_thread::sleep_for(crowd_time);
    check_process(fleet);
    check_ordinary_call(fleet);
    callers.leave();
    check_ordinary_call(fleet);
    check_process(fleet);
}

} // namespace

TEST_CASE("a crowd at the own interface stays within the memory of the process")
{
    fleet fleet(limited_vm());

    SECTION("with bodies that stop short of their end, in large chunks")
    {
        check_crowd(fleet, uploads, upload_in_chunks(max_body_bytes - missing_bytes));
    }
    SECTION("in chunks of one byte")
    {
        std::string all;
        for (std::size_t sent = 0; sent < small_chunks_bytes; ++sent) {
            all += "1\r\nx\r\n";
        }
        check_crowd(fleet, uploads, {head_of_upload("Transfer-Encoding: chunked"), all});
    }
    SECTION("with a length")
    {
        check_crowd(fleet, uploads,
                    {head_of_upload("Content-Length: " + std::to_string(max_body_bytes)),
                     std::string(max_body_bytes - missing_bytes, 'x')});
    }
    SECTION("with bodies over the limit")
    {
        check_crowd(fleet, uploads, upload_in_chunks(endless_bytes));
    }
    SECTION("with whole bodies that the upstream keeps waiting")
    {
        fleet.set_upstream_fault("riga-w1", "kind=hang_before_head");
        check_crowd(fleet, uploads, {whole_upload()});
    }
    SECTION("with connections that send nothing")
    {
        check_crowd(fleet, silent_connections, {});
    }
}

TEST_CASE("a crowd at the operators' listener stays within the memory of the process")
{
    fleet fleet(limited_vm());
    crowd callers(fleet.operators("riga-a"));
    for (int member = 0; member < uploads; ++member) {
        callers.join(upload_in_chunks(max_body_bytes - missing_bytes));
    }
    std::this_thread::sleep_for(crowd_time);
    check_process(fleet);
    check_ordinary_call(fleet);
}
