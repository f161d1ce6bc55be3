/**
 * The parts of an agent that have to do with weights: one swapper an engine,
 * and the source and server from which the engines take new versions.
 */
import {
  Clock,
  PublishedVersion,
  RulesHolder,
  computeActivationDelay,
} from '@sassafrasspan/core';
import type {
  FetchWeightsRequest,
  MessageWriter,
  WeightsChunk,
} from '@sassafrasspan/nodes';
import {ObjectStore, VmListClient} from '@sassafrasspan/platform';
import type {EventLog} from '@sassafrasspan/runtime';
import {WeightFiles, WeightStoreClient} from '@sassafrasspan/weights';
import type {AgentSettings} from '../shared/settings_schemas';
import type {EndpointUnit} from './endpoint_unit';
import {EngineSwapper} from './engine_swapper';
import {FencingKeeper} from './fencing_keeper';
import {WeightServer} from './weight_server';
import {WeightSource} from './weight_source';

/** What the parts are built from. */
export interface WeightPartsOptions {
  readonly settings: AgentSettings;
  /** Name of this life of the agent. */
  readonly holder: string;
  readonly engines: readonly EndpointUnit[];
  readonly store: ObjectStore;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Weights at one agent. */
export class WeightParts {
  private readonly source: WeightSource | undefined;
  private readonly server: WeightServer | undefined;
  private readonly swappers: ReadonlyMap<EndpointUnit, EngineSwapper>;

  private constructor(private readonly options: WeightPartsOptions) {
    this.source = createSource(options);
    if (this.source !== undefined) {
      this.server = WeightServer.create(this.source);
    }
    const {server} = this;
    this.swappers = new Map(
      server === undefined
        ? []
        : options.engines.map(unit => [unit, this.createSwapper(unit, server)]),
    );
  }

  /** Builds the parts; without a weight store no engine is swapped. */
  static create(options: WeightPartsOptions): WeightParts {
    return new WeightParts(options);
  }

  /** Starts to serve weights to the engines. */
  async start(): Promise<void> {
    await this.server?.listen(this.options.settings.weights);
  }

  /** Stops serving. */
  stop(): void {
    this.server?.destroy();
  }

  /** Takes a newer state of a service's version head. */
  setHead(head: PublishedVersion): void {
    for (const [unit, swapper] of this.swappers) {
      if (unit.settings.service === head.service) swapper.setHead(head);
    }
  }

  /** Does the next step of each engine's swap. */
  advance(): void {
    for (const swapper of this.swappers.values()) void swapper.advance();
  }

  /** Sends one block of weights to another agent, or nothing. */
  async sendBlock(
    request: FetchWeightsRequest,
    writer: MessageWriter<WeightsChunk>,
  ): Promise<void> {
    const {service, version, fromOffset} = request;
    const block = await this.source?.readBlock(service, version, fromOffset);
    if (block?.isOk()) writer.send(block.value);
    writer.end();
  }

  private createSwapper(
    unit: EndpointUnit,
    server: WeightServer,
  ): EngineSwapper {
    const {store, clock, log, holder} = this.options;
    const {name, fencing} = unit.settings;
    return EngineSwapper.create({
      unit,
      clock,
      log,
      fencing: FencingKeeper.create({
        endpoint: name,
        holder,
        checksFencing: fencing === 'checks',
        store,
        clock,
        log,
      }),
      formatSource: wanted => server.formatUrl(wanted),
      readDelayMs: version => this.readDelayMs(unit, version),
    });
  }

  private readDelayMs(unit: EndpointUnit, version: number): number {
    const {name, service} = unit.settings;
    const book = this.options.rules.getRuleSet();
    const promise = book
      ?.listRules('weights-within')
      .find(rule => rule.service === service);
    return computeActivationDelay({
      endpoint: name,
      pool: book?.findPool(service)?.endpoints ?? [],
      version,
      poolActivationMs: promise?.withinMs,
    });
  }
}

function createSource(options: WeightPartsOptions): WeightSource | undefined {
  const {settings, log} = options;
  if (settings.weightStore === undefined) return undefined;
  const {dataFolder} = settings;
  return WeightSource.create({
    self: settings.name,
    failureDomain: settings.failureDomain,
    holders: settings.weightHolders,
    storeFetchesPerSecond: settings.weightStore.fetchesPerSecond,
    store: WeightStoreClient.create(settings.weightStore.url),
    files:
      dataFolder === undefined ? undefined : WeightFiles.create(dataFolder),
    log,
    findAddress: createAddressFinder(settings),
  });
}

/** Finds agents among the seeds and in the platform's VM list. */
function createAddressFinder(settings: AgentSettings) {
  const vmList = VmListClient.create(settings.platform.vmsUrl);
  return async (agent: string): Promise<string | undefined> => {
    const listed = await vmList.listVms();
    const vms = listed.unwrapOr([]);
    const known = [...vms, ...settings.seeds].find(node => node.name === agent);
    return known?.address;
  };
}
