#include "report.h"

#include "rendering.h"
#include "reviewexecution.h"
#include "svgplot.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iterator>

namespace sequoiastand
{

namespace
{

constexpr std::string_view style = R"(body{font:16px/1.45 system-ui,sans-serif;color:#1b1b1f;max-width:1080px;margin:2rem auto;padding:0 1rem}
h1{font-size:1.7rem;margin-bottom:.2rem}h2{font-size:1.2rem;margin:2.2rem 0 .6rem}p{margin:.3rem 0}.muted{color:#5b5f66}
.figures{display:flex;flex-wrap:wrap;gap:1rem;margin:1.2rem 0}.figure{border:1px solid #d5d8dd;border-radius:6px;padding:.6rem 1rem;min-width:8rem}
.figure b{display:block;font-size:1.6rem}.gaps{border-left:5px solid #b3261e;background:#fdf1f0;padding:.6rem 1rem}
.complete{border-left:5px solid #2e7d32;background:#f0f7f0;padding:.6rem 1rem}.wide{overflow-x:auto}
table{border-collapse:collapse;font-size:.86rem}th,td{padding:.3rem .7rem;border-bottom:1px solid #e3e5e8;text-align:left;white-space:nowrap}
td.number{text-align:right;font-variant-numeric:tabular-nums}svg{max-width:100%;height:auto}
@media print{body{margin:0}.wide{overflow:visible}table{font-size:.6rem}})";

std::string cellHtml(const ResultCell &cell)
{
    const bool isNumber = std::holds_alternative<long long>(cell) || std::holds_alternative<double>(cell) || std::holds_alternative<Duration>(cell);
    return absl::StrCat(isNumber ? "<td class=\"number\">" : "<td>", escapeHtml(toText(cell)), "</td>");
}

std::string heading(std::string column)
{
    std::ranges::replace(column, '_', ' ');
    return escapeHtml(column);
}

std::string tableHtml(const ResultTable &table)
{
    std::string html = absl::StrCat("<h2>", escapeHtml(table.title), "</h2>\n");
    if (table.rows.empty()) {
        return html + "<p class=\"muted\">None.</p>\n";
    }
    absl::StrAppend(&html, "<div class=\"wide\"><table><thead><tr>");
    for (const auto &column : table.columns) {
        absl::StrAppend(&html, "<th>", heading(column), "</th>");
    }
    absl::StrAppend(&html, "</tr></thead><tbody>\n");
    for (const auto &row : table.rows) {
        absl::StrAppend(&html, "<tr>");
        for (const auto &cell : row) {
            absl::StrAppend(&html, cellHtml(cell));
        }
        absl::StrAppend(&html, "</tr>\n");
    }
    return html + "</tbody></table></div>\n";
}

std::string figureHtml(const std::string &value, const std::string &label)
{
    return absl::StrCat("<div class=\"figure\"><b>", escapeHtml(value), "</b>", escapeHtml(label), "</div>\n");
}

std::string scopeText(const ReviewScope &scope)
{
    std::string text = "all organisations, teams, classes and zones";
    if (scope.organisation || scope.team || scope.jobClass || scope.availabilityZone) {
        text = "limited to";
        absl::StrAppend(&text, scope.organisation ? " organisation " + scope.organisation->value : "", scope.team ? " team " + scope.team->value : "");
        absl::StrAppend(&text,
                        scope.jobClass ? " class " + std::string(name(*scope.jobClass)) : "",
                        scope.availabilityZone ? " zone " + scope.availabilityZone->value : "");
    }
    return text;
}

std::string summaryHtml(const Review &review)
{
    const auto &total = review.total;
    double lost = 0;
    for (const auto &loss : review.losses) {
        lost += loss.acceleratorHours;
    }
    const auto share = total.accepted == 0 ? 0.0 : 100.0 * static_cast<double>(total.finished) / static_cast<double>(total.accepted);
    std::string html = "<div class=\"figures\">\n";
    absl::StrAppend(&html, figureHtml(std::to_string(total.accepted), "jobs accepted"));
    absl::StrAppend(&html, figureHtml(absl::StrFormat("%.1f %%", share), "finished"));
    absl::StrAppend(&html, figureHtml(total.completion.count == 0 ? "-" : toText(total.completion.p90), "completion time, 90th percentile"));
    absl::StrAppend(&html, figureHtml(std::to_string(total.missedDeadlines), absl::StrCat("missed of ", total.deadlines, " deadlines")));
    absl::StrAppend(&html, figureHtml(absl::StrFormat("%.1f", review.capacityTotal.held), "accelerator-hours held"));
    absl::StrAppend(&html, figureHtml(absl::StrFormat("%.1f", lost), "accelerator-hours lost"));
    absl::StrAppend(&html, figureHtml(std::to_string(total.unknown), "jobs in doubt"));
    return html + "</div>\n";
}

std::string gapsHtml(const Review &review)
{
    if (review.gaps.empty()) {
        return "<p class=\"complete\">No records are known to be missing.</p>\n";
    }
    std::string html = "<div class=\"gaps\"><b>What these figures leave out</b><ul>\n";
    for (const auto &gap : review.gaps) {
        absl::StrAppend(&html, "<li>", escapeHtml(gap), "</li>\n");
    }
    return html + "</ul></div>\n";
}

std::string dayLabel(WallTime day)
{
    constexpr std::size_t monthAndDay = 5;
    return toText(day).substr(monthAndDay, monthAndDay);
}

BarPlot endsByDay(const Review &review)
{
    BarPlot plot{"Jobs that ended, by day", "jobs", {{"finished", "#2e7d32"}, {"failed, cancelled, refused or unknown", "#b3261e"}}, {}};
    for (const auto &day : review.days) {
        plot.bars.push_back({dayLabel(day.day), {static_cast<double>(day.finished), static_cast<double>(day.notFinished)}});
    }
    return plot;
}

BarPlot hoursByDay(const Review &review)
{
    BarPlot plot{"Accelerator-hours held, by day", "accelerator-hours", {{"within guarantees", "#1f5fa8"}, {"borrowed", "#e08e0b"}}, {}};
    for (const auto &day : review.days) {
        plot.bars.push_back({dayLabel(day.day), {day.held - day.borrowed, day.borrowed}});
    }
    return plot;
}

BarPlot hoursByOrganisation(const Review &review)
{
    BarPlot plot{"Accelerator-hours held, by organisation", "accelerator-hours", {{"within guarantees", "#1f5fa8"}, {"borrowed", "#e08e0b"}}, {}};
    for (const auto &own : review.capacity) {
        plot.bars.push_back({own.organisation, {own.held - own.borrowed, own.borrowed}});
    }
    return plot;
}

BarPlot completionByClass(const Review &review)
{
    constexpr double millisecondsPerMinute = 60'000.0;
    BarPlot plot{"Completion time by class, 90th percentile", "minutes", {{"90th percentile", "#5b4b8a"}}, {}};
    for (const auto &figures : review.byClass) {
        plot.bars.push_back({figures.group, {static_cast<double>(figures.completion.p90.count()) / millisecondsPerMinute}});
    }
    return plot;
}

BarPlot lossesByCause(const Review &review)
{
    BarPlot plot{"Lost work by cause", "accelerator-hours", {{"lost", "#b3261e"}}, {}};
    for (const auto &loss : review.losses) {
        plot.bars.push_back({loss.cause, {loss.acceleratorHours}});
    }
    return plot;
}

}

std::string reviewReport(const Review &review)
{
    const std::string range = toText(review.scope.from) + " to " + toText(std::min(review.scope.until, review.createdAt)) + " UTC";
    std::string html = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" content=\"width=device-width\">\n";
    absl::StrAppend(&html, "<title>Review ", range, "</title>\n<style>", std::string(style), "</style></head><body>\n");
    absl::StrAppend(&html, "<h1>Review</h1>\n<p>", range, "; ", escapeHtml(scopeText(review.scope)), "</p>\n");
    absl::StrAppend(&html, "<p class=\"muted\">Made ", toText(review.createdAt), " UTC</p>\n", gapsHtml(review), summaryHtml(review));
    for (const auto &plot : {endsByDay(review), hoursByDay(review), hoursByOrganisation(review), completionByClass(review), lossesByCause(review)}) {
        absl::StrAppend(&html, "<h2>", escapeHtml(plot.title), "</h2>\n", barPlotSvg(plot));
    }
    for (const auto &table : reviewTables(review).tables) {
        absl::StrAppend(&html, tableHtml(table));
    }
    absl::StrAppend(&html,
                    "<p class=\"muted\">Jobs count by the time they were accepted, hours by the time they were held. Guaranteed and lent hours follow the "
                    "configuration in force when the report was made; lent hours are shared out in proportion to unused guarantees.</p>\n</body></html>\n");
    return html;
}

}
