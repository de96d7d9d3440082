#include "sheet/csv_table.hpp"

#include <csv.h>

#include <algorithm>
#include <memory>
#include <new>
#include <utility>

namespace egretstile {

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view white_space = " \t\r\n";

std::string trimmed(std::string_view text) {
    const std::size_t first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(white_space) - first + 1));
}

/// Counts separators in the first two rows that are not empty. One of them is the header, which has
/// many separators and no free text that could contain the other character.
unsigned char detect_separator(std::string_view text) {
    std::size_t begin = 0;
    std::size_t commas = 0;
    std::size_t semicolons = 0;
    for (int rows = 0; rows < 2 && begin < text.size();) {
        const std::size_t end = std::min(text.find_first_of("\r\n", begin), text.size());
        const std::string_view row = text.substr(begin, end - begin);
        commas += static_cast<std::size_t>(std::count(row.begin(), row.end(), ','));
        semicolons += static_cast<std::size_t>(std::count(row.begin(), row.end(), ';'));
        rows += row.empty() ? 0 : 1;
        begin = end + 1;
    }
    return semicolons > commas ? ';' : ',';
}

/// Builds the table from the callbacks of libcsv. Not thread-safe.
class row_collector {
public:
    void add_cell(std::string_view cell) { cells_.push_back(trimmed(cell)); }

    /// `terminator` is the character that ended the row, negative at the end of the text.
    void end_row(int terminator) {
        // libcsv reports the end of a row for each of the two characters of CR LF.
        const bool second_of_pair =
            terminator == CSV_LF && last_terminator_ == CSV_CR && cells_.empty();
        last_terminator_ = terminator;
        if (second_of_pair) {
            return;
        }
        ++row_count_;
        if (std::any_of(cells_.begin(), cells_.end(),
                        [](const std::string& cell) { return !cell.empty(); })) {
            table_.rows.push_back({row_count_, std::move(cells_)});
        }
        cells_.clear();
    }

    void mark_malformed() { table_.malformed_row = row_count_ + 1; }

    csv_table take() { return std::move(table_); }

private:
    csv_table table_;
    std::vector<std::string> cells_;
    std::size_t row_count_{0};
    int last_terminator_{-1};
};

void on_cell(void* data, std::size_t size, void* collector) {
    static_cast<row_collector*>(collector)->add_cell({static_cast<const char*>(data), size});
}

void on_row(int terminator, void* collector) {
    static_cast<row_collector*>(collector)->end_row(terminator);
}

} // namespace

csv_table parse_csv(std::string_view text) {
    if (text.substr(0, byte_order_mark.size()) == byte_order_mark) {
        text.remove_prefix(byte_order_mark.size());
    }
    csv_parser parser{};
    if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0) {
        throw std::bad_alloc();
    }
    const std::unique_ptr<csv_parser, void (*)(csv_parser*)> cleanup(&parser, csv_free);
    csv_set_delim(&parser, detect_separator(text));
    row_collector collector;
    const std::size_t parsed =
        csv_parse(&parser, text.data(), text.size(), on_cell, on_row, &collector);
    if (parsed != text.size() || csv_fini(&parser, on_cell, on_row, &collector) != 0) {
        collector.mark_malformed();
    }
    return collector.take();
}

} // namespace egretstile
