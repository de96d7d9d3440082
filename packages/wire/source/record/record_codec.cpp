#include "message/bounded_archive.hpp"

#include <egretstile/wire/message/serialize.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <exception>

namespace egretstile::wire {

namespace {

/// Progress as records of version 2 hold it.
struct flat_job_progress {
    job_state state{job_state::queued};
    std::vector<task_progress> tasks;
};

template <typename Archive>
void serialize(Archive& archive, flat_job_progress& value) {
    archive(value.state, value.tasks);
}

template <typename Record>
std::string encode(const Record& record, std::uint8_t version = record_version) {
    std::string bytes;
    output_archive archive(bytes);
    archive(version, record);
    return bytes;
}

template <typename Record>
std::optional<Record> decode(std::string_view bytes, std::uint8_t expected = record_version) {
    try {
        input_archive archive(bytes);
        std::uint8_t version{0};
        archive(version);
        if (version != expected) {
            return std::nullopt;
        }
        Record record;
        archive(record);
        if (archive.remaining() != 0) {
            return std::nullopt;
        }
        return record;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string encode_record(const shard_record& record) {
    return encode(record);
}

std::optional<shard_record> decode_shard_record(std::string_view bytes) {
    return decode<shard_record>(bytes);
}

std::string encode_record(const plan& value) {
    return encode(value);
}

std::optional<plan> decode_plan(std::string_view bytes) {
    return decode<plan>(bytes);
}

std::string encode_record(const member_list& value) {
    return encode(value);
}

std::optional<member_list> decode_member_list(std::string_view bytes) {
    return decode<member_list>(bytes);
}

std::string encode_record(const job_spec& value) {
    return encode(value);
}

std::optional<job_spec> decode_job_spec(std::string_view bytes) {
    return decode<job_spec>(bytes);
}

std::string encode_record(const job_progress& value) {
    return encode(value, progress_record_version);
}

std::optional<job_progress> decode_job_progress(std::string_view bytes) {
    if (std::optional<flat_job_progress> flat = decode<flat_job_progress>(bytes)) {
        job_progress progress;
        progress.state = flat->state;
        progress.tasks = std::move(flat->tasks);
        return progress;
    }
    return decode<job_progress>(bytes, progress_record_version);
}

} // namespace egretstile::wire
