/** The `explain` command: lists the decisions for a request. */
import {
  DECISIONS_PAGE_SCHEMA,
  fetchPages,
  formatExplanation,
  listUnreachable,
} from '@sassafrasspan/operators';
import {command, positional, string} from 'cmd-ts';
import {SOURCE_OPTIONS, findNodeUrls, readSources} from './operators_sources';
import {EXIT_FAILED, printFailure, printFaults, printLine} from './output';

/** The `explain` command. */
export const EXPLAIN_COMMAND = command({
  name: 'explain',
  description: 'Explain what was decided for a request and why.',
  args: {
    request: positional({
      type: string,
      displayName: 'REQUEST_ID',
      description:
        "the caller's own x-request-id, the id in the answer, or a " +
        'prefix of either; nodes store the newest 8,192 events',
    }),
    ...SOURCE_OPTIONS,
  },
  handler: async args => {
    const sources = readSources(args);
    if (sources.isErr()) return printFaults(sources.error);
    const urls = await findNodeUrls(sources.value);
    if (urls === undefined) return;
    const path = `/explain/${encodeURIComponent(args.request)}`;
    const pages = await fetchPages(urls, path, DECISIONS_PAGE_SCHEMA);
    const nodes = pages.flatMap(({page}) => (page.isOk() ? [page.value] : []));
    const text = formatExplanation(nodes);
    if (text !== '') printLine(text);
    for (const line of listUnreachable(pages)) printFailure(line, 0);
    if (text !== '') return;
    const detail = `no node has events of request ${args.request}`;
    printFailure(detail, EXIT_FAILED);
  },
});
