#include <egretstile/core/job/operator_config.hpp>

#include <algorithm>

namespace egretstile {

const queue_policy* find_queue(const operator_config& config, const std::string& host,
                               const std::string& path) {
    const queue_policy* best = nullptr;
    for (const queue_policy& queue : config.queues) {
        const bool matches =
            queue.host == host && path.compare(0, queue.path_prefix.size(), queue.path_prefix) == 0;
        if (matches && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const queue_policy* find_queue_by_name(const operator_config& config, const std::string& name) {
    const auto found =
        std::find_if(config.queues.begin(), config.queues.end(),
                     [&name](const queue_policy& queue) { return queue.name == name; });
    return found == config.queues.end() ? nullptr : &*found;
}

} // namespace egretstile
