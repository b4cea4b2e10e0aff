#include "log_setup.h"

#include <memory>

#include <boost/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

spdlog::level::level_enum level_of(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

/// The message as a JSON string, quotes included.
class json_message_flag final : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
                spdlog::memory_buf_t& target) override
    {
        const auto text = boost::json::serialize(
            boost::json::string(boost::json::string_view(message.payload.data(), message.payload.size())));
        target.append(text.data(), text.data() + text.size());
    }

    std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<json_message_flag>();
    }
};

} // namespace

void set_up_log(const settings& config)
{
    auto logger =
        std::make_shared<spdlog::logger>("cardamomstream", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_level(level_of(config.log.level));
    if (config.log.format == log_format::json) {
        auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
        formatter->add_flag<json_message_flag>('*');
        formatter->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","vm":")" + config.vm.str() +
                               R"(","message":%*})");
        logger->set_formatter(std::move(formatter));
    }
    else {
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l vm=" + config.vm.str() + " %v",
                            spdlog::pattern_time_type::utc);
    }
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

} // namespace cardamomstream
