/**
 * The `report` command: the error-budget burn rate of every promise
 * (service-level objective).
 */
import {writeFileSync} from 'node:fs';
import {
  BURN_PAGE_SCHEMA,
  BurnReport,
  createBurnReport,
  fetchPages,
  formatBurnPage,
  formatBurnText,
  listUnreachable,
} from '@sassafrasspan/operators';
import {SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {command, oneOf, option, optional, string, subcommands} from 'cmd-ts';
import {SOURCE_OPTIONS, findNodeUrls, readSources} from './operators_sources';
import {EXIT_FAILED, printFailure, printFaults, printLine} from './output';

const FORMATS = ['text', 'json', 'html'] as const;

/** Formatter of the report for each format. */
const WRITERS: Record<
  (typeof FORMATS)[number],
  (report: BurnReport) => string
> = {
  text: formatBurnText,
  json: report => JSON.stringify(report, undefined, 2),
  html: report => formatBurnPage(report, SYSTEM_CLOCK.readWallMs()),
};

function writeReport(text: string, file: string | undefined): void {
  if (file === undefined) printLine(text.trimEnd());
  else writeFileSync(file, text);
}

const burn = command({
  name: 'burn',
  description:
    'Show which promises are kept or broken, how fast each burns its error ' +
    'budget over 5 min, 1 h, 6 h and 3 d, and who asked for it. Counted by ' +
    'the entries since they started. Exits with 1 when a promise is broken ' +
    'or an entry could not be read.',
  args: {
    ...SOURCE_OPTIONS,
    format: option({
      type: oneOf(FORMATS),
      long: 'format',
      defaultValue: () => 'text' as const,
      description: 'text, json, or html (one self-contained page with plots)',
    }),
    out: option({
      type: optional(string),
      long: 'out',
      description: 'file to write instead of standard output',
    }),
  },
  handler: async args => {
    const sources = readSources(args);
    if (sources.isErr()) return printFaults(sources.error);
    const urls = await findNodeUrls(sources.value);
    if (urls === undefined) return;
    const pages = await fetchPages(urls, '/burn', BURN_PAGE_SCHEMA);
    const readPages = pages.flatMap(({page}) =>
      page.isOk() ? [page.value] : [],
    );
    const report = createBurnReport(readPages);
    if (report.entries.length > 0) {
      writeReport(WRITERS[args.format](report), args.out);
    }
    for (const line of listUnreachable(pages)) printFailure(line, EXIT_FAILED);
    const broken = report.promises.filter(
      promise => promise.state === 'broken',
    );
    if (broken.length > 0 || readPages.length === 0) {
      process.exitCode = EXIT_FAILED;
    }
  },
});

/** The `report` command. */
export const REPORT_COMMAND = subcommands({
  name: 'report',
  description: 'Report which promises are kept or broken (report burn).',
  cmds: {burn},
});
