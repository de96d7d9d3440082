#pragma once

#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/plan/plan.hpp>
#include <egretstile/core/shard/member_list.hpp>
#include <egretstile/core/shard/shard_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Encodes and decodes the values in the key-value store: one version byte, then the fields. The
/// decoders accept any bytes and return std::nullopt for those that are not a whole record of this
/// version. All functions are thread-safe.
namespace egretstile::wire {

constexpr std::uint8_t record_version = 2;
/// Version of the records of job progress. Those of version 2, which hold a row for each task, are
/// still read.
constexpr std::uint8_t progress_record_version = 3;

std::string encode_record(const shard_record& record);
std::optional<shard_record> decode_shard_record(std::string_view bytes);

std::string encode_record(const plan& value);
std::optional<plan> decode_plan(std::string_view bytes);

std::string encode_record(const member_list& value);
std::optional<member_list> decode_member_list(std::string_view bytes);

std::string encode_record(const job_spec& value);
std::optional<job_spec> decode_job_spec(std::string_view bytes);
std::string encode_record(const job_progress& value);
std::optional<job_progress> decode_job_progress(std::string_view bytes);

} // namespace egretstile::wire
