/**
 * Formats the burn report as a self-contained HTML page: inline styles, inline
 * SVG plots, no scripts and no references to other files.
 */
import type {BurnReport, PromiseBurn, WindowBurn} from './burn_report';
import {formatBurn} from './burn_text';

const PLOT_WIDTH = 210;
const PLOT_HEIGHT = 64;
const LABEL_HEIGHT = 16;
const BAR_GAP = 1;

const STYLE = `
:root { color-scheme: light dark; --ink: #1c2430; --page: #ffffff;
  --line: #d5dae1; --good: #7aa6c2; --bad: #c23b22; --dim: #5d6775; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6e9ee;
  --page: #14181e; --line: #353c46; --good: #4f7f9c; --bad: #ff7a5c;
  --dim: #9aa5b3; } }
body { font: 15px/1.45 system-ui, sans-serif; color: var(--ink);
  background: var(--page); margin: 2rem auto; max-width: 980px;
  padding: 0 1rem; }
h1 { font-size: 1.5rem; margin: 0 0 .25rem; }
h2 { font-size: 1rem; margin: 0; }
p { margin: .2rem 0; } .dim { color: var(--dim); }
section { border-top: 1px solid var(--line); padding: 1rem 0; }
.state { font-weight: 600; } .broken { color: var(--bad); }
.plots { display: flex; flex-wrap: wrap; gap: 1rem; margin-top: .6rem; }
figure { margin: 0; } figcaption { font-size: .85rem; }
table { border-collapse: collapse; } td, th { text-align: right;
  padding: .15rem .8rem .15rem 0; font-variant-numeric: tabular-nums; }
td:first-child, th:first-child { text-align: left; }
rect.good { fill: var(--good); } rect.bad { fill: var(--bad); }
line { stroke: var(--line); }
text { fill: var(--dim); font-size: 10px; }
`;

/** `createdAtMs` is the time of the report in ms since the Unix epoch. */
export function formatBurnPage(
  report: BurnReport,
  createdAtMs: number,
): string {
  const createdAt = new Date(createdAtMs).toISOString();
  const counted = report.promises.filter(
    promise => promise.state !== 'not counted',
  );
  const uncounted = report.promises.filter(
    promise => promise.state === 'not counted',
  );
  const broken = counted.filter(promise => promise.state === 'broken').length;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level objectives</title><style>${STYLE}</style></head><body>
<h1>Service-level objectives (promises)</h1>
<p class="dim">${createdAt}, counted by ${escapeText(report.entries.join(', '))}</p>
<p>${counted.length} promises are measured, ${broken} of them are broken.
A burn rate of 1 uses up the error budget of a window exactly. The bars show
events over time, with bad events in red on top.</p>
${counted.map(promise => formatPromise(promise, createdAtMs)).join('\n')}
${formatLatencies(report)}
${formatUncounted(uncounted)}
</body></html>
`;
}

function formatPromise(promise: PromiseBurn, createdAtMs: number): string {
  const alarm = promise.alarm === '' ? '' : `, ${promise.alarm} alarm`;
  const plots = promise.windows.map(window => formatPlot(window, createdAtMs));
  return `<section><h2>${escapeText(promise.id)}:
<span class="state ${promise.state}">${promise.state}${alarm}</span></h2>
<p>${escapeText(promise.text)}</p>
<p class="dim">requested by ${escapeText(promise.askedBy)}</p>
<div class="plots">${plots.join('\n')}</div></section>`;
}

/** Plots one bar per bucket, with bad events stacked in red on good ones. */
function formatPlot(window: WindowBurn, createdAtMs: number): string {
  const windowStartMs = createdAtMs - window.lengthMs;
  const maxEvents = Math.max(1, ...window.buckets.map(sumEvents));
  const bars = window.buckets.map(bucket => {
    const offset = (bucket.startMs - windowStartMs) / window.lengthMs;
    const left = Math.max(0, offset * PLOT_WIDTH);
    const bucketWidth =
      (window.bucketMs / window.lengthMs) * PLOT_WIDTH - BAR_GAP;
    const width = Math.max(1, Math.min(bucketWidth, PLOT_WIDTH - left));
    const goodHeight = (bucket.good / maxEvents) * PLOT_HEIGHT;
    const badHeight = (bucket.bad / maxEvents) * PLOT_HEIGHT;
    return (
      formatBar('good', left, PLOT_HEIGHT - goodHeight, width, goodHeight) +
      formatBar(
        'bad',
        left,
        PLOT_HEIGHT - goodHeight - badHeight,
        width,
        badHeight,
      )
    );
  });
  const title = `${window.name}: burn rate ${formatBurn(window)}`;
  const height = PLOT_HEIGHT + LABEL_HEIGHT;
  const labelY = height - 4;
  return `<figure><svg role="img" aria-label="${escapeText(title)}"
 width="${PLOT_WIDTH}" height="${height}">
<line x1="0" y1="${PLOT_HEIGHT}" x2="${PLOT_WIDTH}" y2="${PLOT_HEIGHT}"/>
${bars.join('')}
<text x="0" y="${labelY}">${window.name} ago</text>
<text x="${PLOT_WIDTH}" y="${labelY}" text-anchor="end">now</text>
</svg><figcaption>${escapeText(title)}</figcaption></figure>`;
}

function sumEvents(bucket: {readonly good: number; readonly bad: number}) {
  return bucket.good + bucket.bad;
}

function formatBar(
  kind: 'good' | 'bad',
  x: number,
  y: number,
  width: number,
  height: number,
): string {
  if (height === 0) return '';
  const [left, top, barWidth, barHeight] = [x, y, width, height].map(
    formatLength,
  );
  return `<rect class="${kind}" x="${left}" y="${top}" width="${barWidth}" height="${barHeight}"/>`;
}

function formatLength(value: number): string {
  return value.toFixed(1);
}

function formatLatencies(report: BurnReport): string {
  if (report.latencies.length === 0) return '';
  const rows = report.latencies.map(latency => {
    const cells = [
      latency.count,
      latency.p50,
      latency.p90,
      latency.p99,
      latency.max,
    ];
    const texts = cells.map(cell => `<td>${cell}</td>`).join('');
    return `<tr><td>${escapeText(latency.calls)}</td>${texts}</tr>`;
  });
  return `<section><h2>Latency of calls since the entries started, in ms</h2>
<table><tr><th>calls</th><th>count</th><th>p50</th><th>p90</th><th>p99</th>
<th>max</th></tr>${rows.join('')}</table></section>`;
}

function formatUncounted(uncounted: readonly PromiseBurn[]): string {
  if (uncounted.length === 0) return '';
  const items = uncounted.map(
    promise =>
      `<li>${escapeText(promise.id)} (${escapeText(promise.kind)}), requested by ${escapeText(promise.askedBy)}</li>`,
  );
  return `<section><h2>Enforced at each node, not measured</h2>
<ul>${items.join('')}</ul></section>`;
}

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

function escapeText(text: string): string {
  return text.replace(/[&<>"]/g, character => ESCAPES[character]);
}
