import {BURN_WINDOWS} from '@sassafrasspan/core';
import {LatencyHistograms} from '@sassafrasspan/runtime';
import {formatBurnPage} from './burn_page';
import {BurnPage, createBurnReport} from './burn_report';
import {formatBurnText} from './burn_text';

const NOW_MS = 1_800_000_000_000;

/** Creates a promise with the same number of events in every window. */
function createPromise(id: string, good: number, bad: number) {
  return {
    id,
    kind: 'latency',
    askedBy: `<${id}> & co`,
    text: `99% of calls of ${id}`,
    objective: 0.99,
    windows: BURN_WINDOWS.map(({name, lengthMs}) => ({
      name,
      lengthMs,
      bucketMs: lengthMs / 30,
      buckets:
        good + bad === 0 ? [] : [{startMs: NOW_MS - lengthMs / 2, good, bad}],
    })),
  };
}

function createPage(node: string, good: number, bad: number): BurnPage {
  const latencies = LatencyHistograms.create();
  for (let ms = 1; ms <= 100; ms++) latencies.recordMs('kyklos app', ms);
  const uncounted = {id: 'pool', kind: 'pool', askedBy: 'ops', text: '-'};
  return {
    node,
    promises: [
      createPromise('fast', good, bad),
      createPromise('quiet', 0, 0),
      {...createPromise('hard', good, bad), objective: 1},
      {...uncounted, windows: []},
    ],
    latencies: latencies.encodeAll(),
  };
}

const PAGES = [createPage('entry-a', 990, 1), createPage('entry-b', 500, 9)];

test('sums the counts of all entries and classifies each promise', () => {
  expect(formatBurnText(createBurnReport(PAGES))).toMatchSnapshot();
});

test('a high burn rate raises the urgent alarm', () => {
  const report = createBurnReport([createPage('entry-a', 80, 20)]);
  expect(report.promises.map(item => item.alarm)).toEqual([
    'urgent',
    '',
    'urgent',
    '',
  ]);
});

test('the page is self-contained and escapes text of the rules file', () => {
  const page = formatBurnPage(createBurnReport(PAGES), NOW_MS);
  expect(page).not.toMatch(/<script|src=|href=|url\(|https?:/);
  expect(page).not.toContain('<fast>');
  expect(page).toContain('&lt;fast&gt; &amp; co');
  expect(page.match(/<svg/g)).toHaveLength(3 * BURN_WINDOWS.length);
});
