#include "list_controller.h"

#include "platform_reader.h"
#include "view_publisher.h"

#include "cardamomstream/version/vm_list_reader.h"

#include <boost/fiber/operations.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds watch_time{20'000};
constexpr std::chrono::milliseconds first_retry{500};
constexpr std::chrono::milliseconds longest_retry{8'000};

} // namespace

void list_controller::read_list()
{
    auto retry = first_retry;
    while (!m_state.stopped) {
        const auto held = m_state.list ? m_state.list->version : 0;
        const auto wait = m_state.list ? watch_time : std::chrono::milliseconds::zero();
        const auto answer = read_platform(m_state, platform_service::vm_list, "vms", held, wait);
        const bool nothing_newer = answer && !answer.value() && m_state.list;
        const bool taken =
            answer && answer.value() && take_list(m_state, answer.value()->version, answer.value()->text);
        if (nothing_newer || taken) {
            retry = first_retry;
            continue;
        }
        boost::this_fiber::sleep_for(retry);
        retry = std::min(retry * 2, longest_retry);
    }
}

bool take_list(control_state& state, version_number version, const std::string& text)
{
    if (state.list && version <= state.list->version) {
        return false;
    }
    auto read = read_vm_list(text, version);
    if (!read) {
        spdlog::error("list refused version={} message=\"{}\"", version, describe(read.error()));
        return false;
    }
    state.list = std::make_shared<const vm_list>(std::move(read).value());
    state.list_text = text;
    state.members.apply_list(*state.list, boot_clock::now());
    state.parts.events.record(event_kind::list_changed, {{"version", static_cast<std::int64_t>(version)}});
    publish_view(state);
    return true;
}

} // namespace cardamomstream
