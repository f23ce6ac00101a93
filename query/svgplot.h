#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

struct PlotSeries
{
    std::string label;
    std::string colour;

    friend bool operator==(const PlotSeries &, const PlotSeries &) = default;
};

/// One stacked bar, with one value for each series of the plot in the same order.
struct PlotBar
{
    std::string label;
    std::vector<double> values;

    friend bool operator==(const PlotBar &, const PlotBar &) = default;
};

struct BarPlot
{
    std::string title;
    std::string unit;
    std::vector<PlotSeries> series;
    std::vector<PlotBar> bars;

    friend bool operator==(const BarPlot &, const BarPlot &) = default;
};

/// Escapes the characters of the text that have a meaning in HTML.
std::string escapeHtml(std::string_view text);

/// Renders stacked vertical bars with an axis, grid lines and a legend as an SVG element.
std::string barPlotSvg(const BarPlot &plot);

}
