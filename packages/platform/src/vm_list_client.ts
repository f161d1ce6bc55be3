/** Client of the platform's VM list, which lags behind the actual state. */
import {ServiceError, createError} from '@sassafrasspan/core';
import {BoundedAnswer, describeError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';

const CALL_TIMEOUT_MS = 2_000;
/** Maximum size of an answer, in bytes: some 100,000 VMs. */
const MAX_ANSWER_BYTES = 16_777_216;

export const LISTED_VM_SCHEMA = z.object({
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  failureDomain: z.string(),
  /** Host and port of the node's peer server. */
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});

export type ListedVm = z.infer<typeof LISTED_VM_SCHEMA>;

const VM_LIST_SCHEMA = z.object({vms: z.array(LISTED_VM_SCHEMA)});

export interface VmList {
  /** Lists live and leaving VMs. */
  listVms(): Promise<Result<ListedVm[], ServiceError>>;
}

export class VmListClient implements VmList {
  private constructor(private readonly baseUrl: string) {}

  static create(baseUrl: string): VmListClient {
    return new VmListClient(baseUrl);
  }

  async listVms(): Promise<Result<ListedVm[], ServiceError>> {
    try {
      const reply = await BoundedAnswer.request(`${this.baseUrl}/vms`, {
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        maxBytes: MAX_ANSWER_BYTES,
      });
      const parsed = VM_LIST_SCHEMA.parse(await reply.readJson());
      return ok(parsed.vms);
    } catch (error) {
      return err(createError('platform-down', describeError(error)));
    }
  }
}
