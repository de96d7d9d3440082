#include "common/service_call.hpp"

namespace egretstile::standins {

std::string service_call::text(const std::string& name, const std::string& otherwise) const {
    const auto found = query.find(name);
    return found == query.end() ? otherwise : found->second;
}

std::uint64_t service_call::number(const std::string& name, std::uint64_t otherwise) const {
    const auto found = query.find(name);
    return found == query.end() ? otherwise : std::stoull(found->second);
}

std::string service_call::header(const std::string& lower_case_name) const {
    const auto found = headers.find(lower_case_name);
    return found == headers.end() ? std::string() : found->second;
}

service_answer reason_answer(int status, const std::string& text) {
    service_answer answer;
    answer.status = status;
    answer.body = R"({"reason":")" + text + R"("})";
    return answer;
}

} // namespace egretstile::standins
