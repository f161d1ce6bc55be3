/** Runs one stand-in as a process: `standins KIND HOST PORT [OPTIONS]`. */
import {EngineStandin} from './engine_standin';
import {PlainServiceStandin} from './plain_service_standin';
import {PlatformStandin} from './platform_standin';
import {ScoringStandin} from './scoring_standin';
import {WeightStoreStandin} from './weight_store_standin';

interface Standin {
  start(address: {readonly host: string; readonly port: number}): unknown;
}

/** Creates a stand-in from its options as JSON, by the KIND argument. */
const STANDIN_FACTORIES: Readonly<
  Record<string, (options: string) => Standin>
> = {
  engine: options => EngineStandin.create(JSON.parse(options)),
  plain: options =>
    PlainServiceStandin.create(String(JSON.parse(options).name ?? 'plain')),
  scoring: () => ScoringStandin.create(),
  weights: options =>
    WeightStoreStandin.create(JSON.parse(options).fetchesPerSecond),
  platform: () => PlatformStandin.create(),
};

async function runStandin(args: readonly string[]): Promise<void> {
  const [kind, host, port, options] = args;
  const create = STANDIN_FACTORIES[kind];
  if (create === undefined) {
    const kinds = Object.keys(STANDIN_FACTORIES).join(', ');
    process.stderr.write(`usage: standins (${kinds}) HOST PORT [OPTIONS]\n`);
    process.exitCode = 2;
    return;
  }
  const standin = create(options ?? '{}');
  const address = await standin.start({host, port: Number(port)});
  process.stdout.write(`${JSON.stringify(address)}\n`);
}

void runStandin(process.argv.slice(2));
