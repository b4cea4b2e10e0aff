#include "log_setup.h"

#include <climits>
#include <memory>
#include <mutex>
#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

#include <boost/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
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

/// The message as it is when it is a JSON object, else as a JSON string.
class json_entry_flag final : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& message, const std::tm& time,
                spdlog::memory_buf_t& target) override
    {
        if (message.payload.size() > 0 && message.payload.data()[0] == '{') {
            target.append(message.payload.data(), message.payload.data() + message.payload.size());
            return;
        }
        json_message_flag{}.format(message, time, target);
    }

    std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<json_entry_flag>();
    }
};

/// Writes lines to standard output and drops those that a full pipe can't take at once.
class standard_output_sink final : public spdlog::sinks::base_sink<std::mutex> {
protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        // A pipe that is ready for output takes PIPE_BUF bytes without waiting.
        if (line.size() > PIPE_BUF || ::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
            m_dropped += 1;
            return;
        }
        if (m_dropped > 0) {
            const auto note = "{\"log_lines_dropped\":" + std::to_string(std::exchange(m_dropped, 0)) + "}\n";
            line.append(note.data(), note.data() + note.size());
        }
        if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            m_dropped += 1;
        }
    }

    void flush_() override {} // every line is written at once

private:
    std::uint64_t m_dropped = 0;
};

} // namespace

void set_up_node_log(const vm_name& vm)
{
    auto logger =
        std::make_shared<spdlog::logger>("cardamomstream", std::make_shared<standard_output_sink>());
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    formatter->add_flag<json_entry_flag>('*');
    formatter->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","vm":")" + vm.str() +
                           R"(","entry":%*})");
    logger->set_formatter(std::move(formatter));
    spdlog::set_default_logger(std::move(logger));
}

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
