/**
 * Offers the rules of an entry to watched agents that hold an older revision.
 * Agents do not watch the platform's pointer to the latest rules themselves: if
 * each of them read it after each change, they would exceed the platform's call
 * budget.
 *
 * Several entries watch each agent. Every entry waits a random delay of up to
 * `MAX_OFFER_DELAY_MS` before its offer. The first offer makes the agent send a
 * heartbeat with its new revision, so that the other entries need not offer.
 */
import type {RandomSource, RulesHolder} from '@sassafrasspan/core';
import type {AgentPeer} from '@sassafrasspan/nodes';
import type {RulesFeed} from '../shared/rules_feed';

/** Longest delay before newer rules are offered to an agent. */
export const MAX_OFFER_DELAY_MS = 1_000;

export interface RulesBroadcasterOptions {
  /** Name of this entry. */
  readonly self: string;
  readonly rules: RulesHolder;
  readonly feed: RulesFeed;
  readonly random: RandomSource;
}

/** A watched agent and the latest revision that it reported. */
interface AgentRevision {
  readonly client: AgentPeer;
  revision: number;
  timer: NodeJS.Timeout | undefined;
}

/** Distributes rules revisions to the watched agents. */
export class RulesBroadcaster {
  private readonly agents = new Map<string, AgentRevision>();

  private constructor(private readonly options: RulesBroadcasterOptions) {}

  /** Creates a broadcaster that offers each new revision of `options.rules`. */
  static create(options: RulesBroadcasterOptions): RulesBroadcaster {
    const broadcaster = new RulesBroadcaster(options);
    options.rules.addListener(() => broadcaster.offerAll());
    return broadcaster;
  }

  /**
   * Records the revision in an agent's heartbeat. Schedules an offer if the
   * agent is behind, and fetches its rules if they are newer.
   */
  recordAgent(name: string, client: AgentPeer, revision: number): void {
    const existing = this.agents.get(name);
    if (existing?.client === client) {
      existing.revision = revision;
    } else {
      clearTimeout(existing?.timer);
      this.agents.set(name, {client, revision, timer: undefined});
    }
    this.scheduleOffer(name);
    void this.options.feed.fetchNewerRules(client, revision);
  }

  /** Removes an agent and cancels its scheduled offer. */
  removeAgent(name: string): void {
    clearTimeout(this.agents.get(name)?.timer);
    this.agents.delete(name);
  }

  /**
   * Brings an agent and this entry to the newer of their revisions. Called
   * when the agent refused a run because the revisions differ.
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
    await this.options.feed.fetchNewerRules(agent.client, agent.revision);
  }
}
