/**
 * Hands the rules of an entry to the agents that it watches and that hold
 * older ones. Agents do not watch the platform's rules head: a read by each
 * of them after each change would be over the platform's call budget.
 *
 * Several entries watch an agent. Each waits a random part of
 * `OFFER_SPREAD_MS` before it offers; the first offer makes the agent send a
 * heartbeat, which spares the others theirs.
 */
import type {RandomSource, RulesHolder} from '@sassafrasspan/core';
import type {AgentPeer} from '@sassafrasspan/nodes';
import type {RulesFeed} from '../shared/rules_feed';

/** Longest wait before an agent that is behind is offered newer rules. */
export const MAX_OFFER_DELAY_MS = 1_000;

/** What a spreader is built from. */
export interface RulesBroadcasterOptions {
  /** Name of this entry. */
  readonly self: string;
  readonly rules: RulesHolder;
  readonly feed: RulesFeed;
  readonly random: RandomSource;
}

/** A watched agent with the revision that it is known to hold. */
interface AgentRevision {
  readonly client: AgentPeer;
  revision: number;
  timer: NodeJS.Timeout | undefined;
}

/** Spreads rules revisions to agents. */
export class RulesBroadcaster {
  private readonly agents = new Map<string, AgentRevision>();

  private constructor(private readonly options: RulesBroadcasterOptions) {}

  /** Builds a spreader that knows no agent. */
  static create(options: RulesBroadcasterOptions): RulesBroadcaster {
    const spreader = new RulesBroadcaster(options);
    options.rules.addListener(() => spreader.offerAll());
    return spreader;
  }

  /** Takes the revision that an agent's heartbeat names. */
  recordAgent(name: string, client: AgentPeer, revision: number): void {
    const known = this.agents.get(name);
    if (known?.client === client) {
      known.revision = revision;
    } else {
      clearTimeout(known?.timer);
      this.agents.set(name, {client, revision, timer: undefined});
    }
    this.scheduleOffer(name);
    void this.options.feed.followPeer(client, revision);
  }

  /** Forgets an agent. */
  removeAgent(name: string): void {
    clearTimeout(this.agents.get(name)?.timer);
    this.agents.delete(name);
  }

  /**
   * Brings an agent and this entry to the newer revision of the two, after
   * the agent refused a run because they differ.
   */
  async reconcileAgent(name: string): Promise<void> {
    const agent = this.agents.get(name);
    if (agent !== undefined) await this.sendOffer(agent);
  }

  private offerAll(): void {
    for (const name of this.agents.keys()) this.scheduleOffer(name);
  }

  private isBehind(agent: AgentRevision): boolean {
    return agent.revision < this.options.rules.getRevisionNumber();
  }

  private scheduleOffer(name: string): void {
    const agent = this.agents.get(name);
    if (agent === undefined || agent.timer !== undefined) return;
    if (!this.isBehind(agent)) return;
    const delayMs = MAX_OFFER_DELAY_MS * this.options.random();
    agent.timer = setTimeout(() => {
      agent.timer = undefined;
      if (this.isBehind(agent)) void this.sendOffer(agent);
    }, delayMs);
  }

  private async sendOffer(agent: AgentRevision): Promise<void> {
    const revision = this.options.rules.getRevision();
    if (revision === undefined) return;
    const reply = await agent.client.offerRules({
      node: this.options.self,
      revision: revision.revision,
      bodyJson: JSON.stringify(revision),
    });
    if (reply.isErr()) return;
    agent.revision = Math.max(agent.revision, reply.value.revision);
    await this.options.feed.followPeer(agent.client, agent.revision);
  }
}
