#include "svgplot.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace sequoiastand
{

namespace
{

constexpr double width = 1000;
constexpr double height = 300;
constexpr double left = 70;
constexpr double top = 34;
constexpr double bottom = 250;
constexpr double right = 990;
constexpr int gridLines = 4;

double sumOf(const PlotBar &bar)
{
    return std::accumulate(bar.values.begin(), bar.values.end(), 0.0);
}

/// Upper end of the axis. The distance between grid lines is 1, 2, 2.5 or 5 times a power of ten; of these distances, the smallest is used with which the axis
/// covers the highest bar.
double axisMaximum(const BarPlot &plot)
{
    double highest = 0;
    for (const auto &bar : plot.bars) {
        highest = std::max(highest, sumOf(bar));
    }
    if (!(highest > 0)) {
        return gridLines;
    }
    const double power = std::pow(10.0, std::floor(std::log10(highest / gridLines)));
    for (const double step : {1.0, 2.0, 2.5, 5.0, 10.0}) {
        if (step * power * gridLines >= highest) {
            return step * power * gridLines;
        }
    }
    return 10.0 * power * gridLines;
}

std::string textAt(double x, double y, const std::string &anchor, const std::string &text)
{
    return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, escapeHtml(text));
}

std::string axes(const BarPlot &plot, double maximum)
{
    std::string svg = textAt(left, top - 18, "start", plot.unit);
    for (int line = 0; line <= gridLines; ++line) {
        const double y = bottom - (bottom - top) * line / gridLines;
        absl::StrAppendFormat(&svg, "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#d5d8dd\"/>\n", left, right, y, y);
        absl::StrAppend(&svg, textAt(left - 8, y + 4, "end", absl::StrFormat("%g", maximum * line / gridLines)));
    }
    return svg;
}

std::string legend(const BarPlot &plot)
{
    constexpr double characterWidth = 7.5;
    constexpr double box = 12;
    std::string svg;
    double x = right;
    for (const auto &series : plot.series | std::views::reverse) {
        x -= static_cast<double>(series.label.size()) * characterWidth;
        absl::StrAppend(&svg, textAt(x, top - 18, "start", series.label));
        x -= box + 6;
        absl::StrAppendFormat(&svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.0f\" height=\"%.0f\" fill=\"%s\"/>\n", x, top - 29, box, box, series.colour);
        x -= box;
    }
    return svg;
}

std::string barSvg(const BarPlot &plot, const PlotBar &bar, double x, double barWidth, double maximum)
{
    std::string svg;
    double y = bottom;
    for (std::size_t index = 0; index < bar.values.size(); ++index) {
        const double size = std::max(0.0, bar.values[index]) / maximum * (bottom - top);
        y -= size;
        absl::StrAppendFormat(&svg,
                              "<rect x=\"%.1f\" y=\"%.2f\" width=\"%.1f\" height=\"%.2f\" fill=\"%s\"><title>%s, %s: %.2f</title></rect>\n",
                              x,
                              y,
                              barWidth,
                              size,
                              plot.series[index].colour,
                              escapeHtml(bar.label),
                              escapeHtml(plot.series[index].label),
                              bar.values[index]);
    }
    return svg;
}

}

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

std::string barPlotSvg(const BarPlot &plot)
{
    if (plot.bars.empty()) {
        return "<p class=\"muted\">None.</p>\n";
    }
    const double maximum = axisMaximum(plot);
    const double slot = (right - left) / static_cast<double>(plot.bars.size());
    const double barWidth = std::min(slot * 0.7, 60.0);
    // About 16 labels fit side by side, so with more bars only some of them get a label.
    const std::size_t labelEvery = (plot.bars.size() + 15) / 16;
    std::string svg = absl::StrFormat("<svg viewBox=\"0 0 %.0f %.0f\" width=\"%.0f\" role=\"img\" aria-label=\"%s\" font-family=\"system-ui,sans-serif\" "
                                      "font-size=\"13\" fill=\"#1b1b1f\">\n",
                                      width,
                                      height,
                                      width,
                                      escapeHtml(plot.title));
    absl::StrAppend(&svg, axes(plot, maximum), legend(plot));
    for (std::size_t index = 0; index < plot.bars.size(); ++index) {
        const double middle = left + slot * (static_cast<double>(index) + 0.5);
        absl::StrAppend(&svg, barSvg(plot, plot.bars[index], middle - barWidth / 2, barWidth, maximum));
        if (index % labelEvery == 0) {
            absl::StrAppend(&svg, textAt(middle, bottom + 20, "middle", plot.bars[index].label));
        }
    }
    return svg + "</svg>\n";
}

}
