/**
 * The burn report as one HTML page that needs nothing else: styles inside,
 * plots as inline SVG, no script and no reference to any other file.
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

/** Writes the page of a report that was made at a time in ms. */
export function formatBurnPage(report: BurnReport, madeAtMs: number): string {
  const made = new Date(madeAtMs).toISOString();
  const counted = report.promises.filter(item => item.state !== 'not counted');
  const others = report.promises.filter(item => item.state === 'not counted');
  const broken = counted.filter(item => item.state === 'broken').length;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Promises kept and broken</title><style>${STYLE}</style></head><body>
<h1>Promises kept and broken</h1>
<p class="dim">${made}, counted by ${escapeText(report.entries.join(', '))}</p>
<p>${counted.length} promises are counted, ${broken} are broken. Burn 1 spends
the whole error budget of a window. Bars show events
over time, bad ones in red on top.</p>
${counted.map(item => formatPromise(item, madeAtMs)).join('\n')}
${formatLatencies(report)}
${formatOthers(others)}
</body></html>
`;
}

function formatPromise(item: PromiseBurn, madeAtMs: number): string {
  const alarm = item.alarm === '' ? '' : `, ${item.alarm} alarm`;
  const plots = item.windows.map(window => formatPlot(window, madeAtMs));
  return `<section><h2>${escapeText(item.id)}:
<span class="state ${item.state}">${item.state}${alarm}</span></h2>
<p>${escapeText(item.text)}</p>
<p class="dim">asked by ${escapeText(item.askedBy)}</p>
<div class="plots">${plots.join('\n')}</div></section>`;
}

/** Draws the events of a window as bars: bad ones red, on top of the good. */
function formatPlot(window: WindowBurn, madeAtMs: number): string {
  const firstMs = madeAtMs - window.lengthMs;
  const most = Math.max(1, ...window.buckets.map(sumEvents));
  const bars = window.buckets.map(bucket => {
    const offset = (bucket.startMs - firstMs) / window.lengthMs;
    const left = Math.max(0, offset * PLOT_WIDTH);
    const full = (window.bucketMs / window.lengthMs) * PLOT_WIDTH - BAR_GAP;
    const width = Math.max(1, Math.min(full, PLOT_WIDTH - left));
    const good = (bucket.good / most) * PLOT_HEIGHT;
    const bad = (bucket.bad / most) * PLOT_HEIGHT;
    return (
      formatBar('good', left, PLOT_HEIGHT - good, width, good) +
      formatBar('bad', left, PLOT_HEIGHT - good - bad, width, bad)
    );
  });
  const title = `${window.name}: burn ${formatBurn(window)}`;
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
  const [left, top, wide, high] = [x, y, width, height].map(formatLength);
  return `<rect class="${kind}" x="${left}" y="${top}" width="${wide}" height="${high}"/>`;
}

function formatLength(value: number): string {
  return value.toFixed(1);
}

function formatLatencies(report: BurnReport): string {
  if (report.latencies.length === 0) return '';
  const rows = report.latencies.map(item => {
    const cells = [item.count, item.p50, item.p90, item.p99, item.max];
    const texts = cells.map(cell => `<td>${cell}</td>`).join('');
    return `<tr><td>${escapeText(item.calls)}</td>${texts}</tr>`;
  });
  return `<section><h2>Latency of calls since the entries started, in ms</h2>
<table><tr><th>calls</th><th>count</th><th>p50</th><th>p90</th><th>p99</th>
<th>max</th></tr>${rows.join('')}</table></section>`;
}

function formatOthers(others: readonly PromiseBurn[]): string {
  if (others.length === 0) return '';
  const items = others.map(
    item =>
      `<li>${escapeText(item.id)} (${escapeText(item.kind)}), asked by ${escapeText(item.askedBy)}</li>`,
  );
  return `<section><h2>Enforced at each node, nothing to count</h2>
<ul>${items.join('')}</ul></section>`;
}

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

function escapeText(text: string): string {
  return text.replace(/[&<>"]/g, found => ESCAPES[found]);
}
