/**
 * Weights at an agent: one swapper per engine, and the source and the server
 * from which the engines download new versions. Without a weight store in the
 * settings no engine is swapped.
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
import type {ManagedEndpoint} from './managed_endpoint';
import {EngineSwapper} from './engine_swapper';
import {FencingNumberHolder} from './fencing_number_holder';
import {WeightServer} from './weight_server';
import {WeightSource} from './weight_source';

export interface AgentWeightsOptions {
  readonly settings: AgentSettings;
  /** Name of this incarnation of the agent. */
  readonly holder: string;
  readonly engines: readonly ManagedEndpoint[];
  readonly store: ObjectStore;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
}

export class AgentWeights {
  private readonly source: WeightSource | undefined;
  private readonly server: WeightServer | undefined;
  private readonly swappers: ReadonlyMap<ManagedEndpoint, EngineSwapper>;

  private constructor(private readonly options: AgentWeightsOptions) {
    this.source = createSource(options);
    if (this.source !== undefined) {
      this.server = WeightServer.create(this.source);
    }
    const {server} = this;
    this.swappers = new Map(
      server === undefined
        ? []
        : options.engines.map(endpoint => [
            endpoint,
            this.createSwapper(endpoint, server),
          ]),
    );
  }

  static create(options: AgentWeightsOptions): AgentWeights {
    return new AgentWeights(options);
  }

  /** Starts the server for the engines. */
  async start(): Promise<void> {
    await this.server?.listen(this.options.settings.weights);
  }

  stop(): void {
    this.server?.destroy();
  }

  /** Passes a published version to the swappers of its service. */
  setPublishedVersion(published: PublishedVersion): void {
    for (const [endpoint, swapper] of this.swappers) {
      if (endpoint.settings.service === published.service) {
        swapper.setPublishedVersion(published);
      }
    }
  }

  /** Starts the next action of each engine's swap; does not wait for it. */
  advance(): void {
    for (const swapper of this.swappers.values()) void swapper.advance();
  }

  /** Sends one block to another agent; ends the stream empty without it. */
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
    endpoint: ManagedEndpoint,
    server: WeightServer,
  ): EngineSwapper {
    const {store, clock, log, holder} = this.options;
    const {name, fencing} = endpoint.settings;
    return EngineSwapper.create({
      endpoint,
      clock,
      log,
      fencing: FencingNumberHolder.create({
        endpoint: name,
        holder,
        checksFencing: fencing === 'checks',
        store,
        clock,
        log,
      }),
      formatSourceUrl: weights => server.formatUrl(weights),
      computeDelayMs: version => this.computeDelayMs(endpoint, version),
    });
  }

  private computeDelayMs(endpoint: ManagedEndpoint, version: number): number {
    const {name, service} = endpoint.settings;
    const ruleSet = this.options.rules.getRuleSet();
    const activationRule = ruleSet
      ?.listRules('weights-within')
      .find(rule => rule.service === service);
    return computeActivationDelay({
      endpoint: name,
      pool: ruleSet?.findPool(service)?.endpoints ?? [],
      version,
      poolActivationMs: activationRule?.withinMs,
    });
  }
}

function createSource(options: AgentWeightsOptions): WeightSource | undefined {
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

/** Looks agents up in the platform's VM list, then among the seeds. */
function createAddressFinder(settings: AgentSettings) {
  const vmList = VmListClient.create(settings.platform.vmsUrl);
  return async (agent: string): Promise<string | undefined> => {
    const listed = await vmList.listVms();
    const vms = listed.unwrapOr([]);
    const nodes = [...vms, ...settings.seeds];
    return nodes.find(node => node.name === agent)?.address;
  };
}
