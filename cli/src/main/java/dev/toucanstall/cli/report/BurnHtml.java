package dev.toucanstall.cli.report;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.CategoryLabelPositions;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.renderer.category.BarRenderer;
import org.jfree.chart.renderer.category.StandardBarPainter;
import org.jfree.data.category.DefaultCategoryDataset;

/** Renders the burn report as one self-contained HTML page with plots. Stateless. */
public final class BurnHtml {

  private static final int CHART_WIDTH_PIXELS = 860;
  private static final int CHART_HEIGHT_PIXELS = 240;

  /** Maximum width of a bar, as a fraction of the plot. */
  private static final double MAX_BAR_WIDTH = 0.02;

  private static final double PPM_PER_PERCENT = 10_000;
  private static final Color GOOD_COLOR = new Color(0x2b, 0x83, 0xba);
  private static final Color BAD_COLOR = new Color(0xd7, 0x19, 0x1c);
  private static final String STYLE =
      """
      body { font: 15px/1.5 system-ui, sans-serif; max-width: 880px; margin: 2em auto; }
      table { border-collapse: collapse; margin: 0.5em 0 1em; }
      th, td { padding: 0.2em 0.8em; border-bottom: 1px solid #ccc; text-align: right; }
      td:last-child, th:last-child { text-align: left; }
      .over { color: #b00; font-weight: bold; }
      section { page-break-inside: avoid; }
      img { max-width: 100%; }
      """;

  private static final String PAGE =
      """
      <!doctype html>
      <html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
      <style>
      %s</style></head><body>
      <h1>Service-level burn</h1>
      <p>Entry instances: %s. Windows that began before an instance started hold only what it has
      counted since; the column "covered" says how much.</p>
      %s
      %s
      </body></html>
      """;

  private BurnHtml() {}

  /**
   * Renders a report.
   *
   * @return HTML page with images as data URLs
   */
  public static String render(BurnSummary summary) {
    String parts =
        summary.teams().stream().map(BurnHtml::section).collect(Collectors.joining("\n"));
    String missing =
        summary.missing().isEmpty()
            ? ""
            : "<p class=over>Not counted, no answer: "
                + escape(String.join(", ", summary.missing()))
                + "</p>";
    return PAGE.formatted(STYLE, escape(String.join(", ", summary.instances())), missing, parts);
  }

  private static String section(BurnSummary.Part part) {
    String title =
        String.format(
            Locale.ROOT,
            "<h2>%s at %s</h2><p>Objective: %.3f%% succeed and start within %d ms. Waited until"
                + " start: p50 %.1f ms, p99 %.1f ms.</p>",
            escape(part.team()),
            escape(part.service()),
            part.targetPpm() / PPM_PER_PERCENT,
            part.startMillis(),
            part.waitP50Millis(),
            part.waitP99Millis());
    String rows = part.windows().stream().map(BurnHtml::row).collect(Collectors.joining());
    return "<section>"
        + title
        + "<table><tr><th>window<th>covered<th>total<th>good<th>burn<th>budget left<th>spent by"
        + rows
        + "</table>"
        + image(chart(part))
        + "</section>";
  }

  private static String row(BurnSummary.Window window) {
    String style = window.budgetLeft() < 0 ? " class=over" : "";
    return String.format(
        Locale.ROOT,
        "<tr%s><td>%s<td>%s<td>%d<td>%d<td>%.2f<td>%.1f%%<td>%s",
        style,
        BurnText.formatDuration(window.seconds()),
        BurnText.formatDuration(window.coveredSeconds()),
        window.total(),
        window.good(),
        window.burnRate(),
        window.budgetLeft() * 100,
        escape(BurnText.describeSpending(window)));
  }

  private static JFreeChart chart(BurnSummary.Part part) {
    DefaultCategoryDataset data = new DefaultCategoryDataset();
    int count = part.minutes().size();
    for (int i = 0; i < count; i++) {
      var counts = part.minutes().get(i);
      String minute = String.valueOf(i + 1 - count);
      data.addValue((double) counts.good(), "good", minute);
      data.addValue((double) (counts.total() - counts.good()), "bad", minute);
    }
    JFreeChart chart =
        ChartFactory.createStackedBarChart(
            null, "minutes ago", "requests", data, PlotOrientation.VERTICAL, true, false, false);
    chart.setBackgroundPaint(Color.WHITE);
    CategoryPlot plot = chart.getCategoryPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    plot.getDomainAxis().setCategoryLabelPositions(CategoryLabelPositions.UP_90);
    BarRenderer renderer = (BarRenderer) plot.getRenderer();
    renderer.setBarPainter(new StandardBarPainter());
    renderer.setShadowVisible(false);
    renderer.setMaximumBarWidth(MAX_BAR_WIDTH);
    renderer.setSeriesPaint(0, GOOD_COLOR);
    renderer.setSeriesPaint(1, BAD_COLOR);
    return chart;
  }

  private static String image(JFreeChart chart) {
    try (ByteArrayOutputStream out = new ByteArrayOutputStream()) {
      ChartUtils.writeChartAsPNG(out, chart, CHART_WIDTH_PIXELS, CHART_HEIGHT_PIXELS);
      String base64 = Base64.getEncoder().encodeToString(out.toByteArray());
      return "<img alt=\"good and bad requests by minute\" src=\"data:image/png;base64,%s\">"
          .formatted(base64);
    } catch (IOException e) {
      throw new UncheckedIOException("chart has no image", e);
    }
  }

  private static String escape(String text) {
    List<String> special = List.of("&", "&amp;", "<", "&lt;", ">", "&gt;", "\"", "&quot;");
    String escaped = text;
    for (int i = 0; i < special.size(); i += 2) {
      escaped = escaped.replace(special.get(i), special.get(i + 1));
    }
    return escaped;
  }
}
