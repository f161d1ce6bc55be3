/** The commands `rules show` and `rules history`. */
import {RULES_REVISION_SCHEMA, RulesRevision} from '@sassafrasspan/core';
import {
  STATUS_PAGE_SCHEMA,
  StoredRulesHead,
  fetchPages,
  formatDomains,
  formatHistory,
  formatRevision,
  listUnreachable,
  readRulesHead,
  readRulesRevision,
  summarizeDomains,
} from '@sassafrasspan/operators';
import {ObjectClient} from '@sassafrasspan/platform';
import type {ServiceError} from '@sassafrasspan/core';
import {command, flag} from 'cmd-ts';
import {Result, ok} from 'neverthrow';
import {
  OperatorsSources,
  SOURCE_OPTIONS,
  findNodes,
  readSources,
} from './operators_sources';
import {
  EXIT_FAILED,
  EXIT_USAGE,
  printFailure,
  printFaults,
  printLine,
} from './output';

const REVISIONS_PREFIX = 'rules/revisions/';
const NO_OBJECTS = 'expected --settings FILE or --objects URL';

/** Runs a task with the object API; prints an error if no source gives it. */
async function runWithStore(
  sources: OperatorsSources,
  task: (store: ObjectClient) => Promise<void>,
): Promise<void> {
  if (sources.objectsUrl === undefined) {
    return printFailure(NO_OBJECTS, EXIT_USAGE);
  }
  const store = ObjectClient.create(sources.objectsUrl);
  await task(store);
  await store.close();
}

async function readNewestRevision(
  store: ObjectClient,
  stored: Result<StoredRulesHead, ServiceError>,
): Promise<Result<RulesRevision | undefined, ServiceError>> {
  const head = stored.map(latest => latest.head);
  if (head.isErr() || head.value === undefined) {
    return head.map(() => undefined);
  }
  return readRulesRevision(store, head.value);
}

async function showRules(
  sources: OperatorsSources,
  store: ObjectClient,
  isBrief: boolean,
): Promise<void> {
  const {urls} = await findNodes(sources);
  const [pages, stored] = await Promise.all([
    fetchPages(urls, '/status', STATUS_PAGE_SCHEMA),
    readRulesHead(store),
  ]);
  const newest = await readNewestRevision(store, stored);
  const revision = newest.unwrapOr(undefined);
  printLine(`# newest accepted: ${describeNewest(newest)}`);
  const domains = summarizeDomains(pages);
  for (const line of formatDomains(domains, revision?.revision)) {
    printLine(`# in force in ${line}`);
  }
  for (const line of listUnreachable(pages)) printLine(`# ${line}`);
  if (revision !== undefined && !isBrief) printLine(revision.text.trimEnd());
  if (revision === undefined) process.exitCode = EXIT_FAILED;
}

function describeNewest(
  newest: Result<RulesRevision | undefined, ServiceError>,
): string {
  if (newest.isErr()) return `not known: ${newest.error.detail}`;
  if (newest.value === undefined) return 'none, no rules have been applied';
  return formatRevision(newest.value);
}

/** The `rules show` command. */
export const RULES_SHOW = command({
  name: 'show',
  description:
    'Show the newest accepted revision, preceded by comments that show ' +
    'which revision is in force in each failure domain. The output is a ' +
    'valid rules file. Exits with 1 if the newest cannot be read.',
  args: {
    ...SOURCE_OPTIONS,
    brief: flag({long: 'brief', description: 'leave out the rules'}),
  },
  handler: async args => {
    const sources = readSources(args);
    if (sources.isErr()) return printFaults(sources.error);
    return runWithStore(sources.value, store =>
      showRules(sources.value, store, args.brief),
    );
  },
});

async function listHistory(store: ObjectClient): Promise<void> {
  const head = await readRulesHead(store);
  const objects = await store.listObjects(REVISIONS_PREFIX);
  const combined = head.andThen(latest =>
    objects.andThen(list => ok({head: latest.head, list})),
  );
  if (combined.isErr()) return printFailure(combined.error.detail, EXIT_FAILED);
  const revisions = combined.value.list.flatMap(object => {
    const parsed = RULES_REVISION_SCHEMA.safeParse(object.value);
    return parsed.success ? [parsed.data] : [];
  });
  for (const line of formatHistory(revisions, combined.value.head)) {
    printLine(line);
  }
}

/** The `rules history` command. */
export const RULES_HISTORY = command({
  name: 'history',
  description:
    'List the stored revisions, newest first: time, author, acceptance.',
  args: SOURCE_OPTIONS,
  handler: async args => {
    const sources = readSources(args);
    if (sources.isErr()) return printFaults(sources.error);
    return runWithStore(sources.value, listHistory);
  },
});
