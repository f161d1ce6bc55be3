/**
 * Forwards the event stream of one completion to a run's sink.
 *
 * Text is forwarded with the weight version that the engine states for it. Text
 * without a version fails the run, so that an answer never names a version that
 * the engine did not state.
 */
import {EndReport, RunSink, createError} from '@sassafrasspan/core';
import {parseJson} from '@sassafrasspan/runtime';
import {
  COMPLETION_EVENT_SCHEMA,
  CompletionEvent,
  STREAM_END,
} from './engine_wire';
import {SseReader} from './sse_reader';

/** Parser of one completion's stream. */
export class CompletionStream {
  private readonly reader = SseReader.create();
  private finishReason = '';
  private endReport: EndReport | undefined;
  private isDone = false;
  private isFailed = false;

  private constructor(private readonly sink: RunSink) {}

  static create(sink: RunSink): CompletionStream {
    return new CompletionStream(sink);
  }

  /** Processes bytes; returns false once the run has failed. */
  acceptBytes(bytes: Uint8Array): boolean {
    for (const data of this.reader.readEvents(bytes)) {
      if (this.isFailed) return false;
      if (data === STREAM_END) this.isDone = true;
      else this.acceptEvent(data);
    }
    if (!this.isFailed && this.reader.isOversized()) {
      this.failRun('endpoint-failed', 'the engine sent an event without end');
    }
    return !this.isFailed;
  }

  /** Finishes the run, or fails it if the engine closed the stream early. */
  endStream(): void {
    if (this.isFailed) return;
    if (this.isDone && this.endReport !== undefined) {
      return this.sink.finish(this.endReport);
    }
    const error = createError(
      'answer-incomplete',
      'the engine closed the stream early',
    );
    this.sink.fail({error, isCrash: false});
  }

  private acceptEvent(data: string): void {
    const parsed = parseJson(data).map(value =>
      COMPLETION_EVENT_SCHEMA.safeParse(value),
    );
    if (parsed.isErr() || !parsed.value.success) {
      return this.failRun(
        'endpoint-failed',
        'the engine sent an invalid event',
      );
    }
    const event = parsed.value.data;
    this.acceptText(event);
    this.acceptUsage(event);
  }

  private acceptText(event: CompletionEvent): void {
    const choice = event.choices[0];
    this.finishReason = choice?.finish_reason ?? this.finishReason;
    const text = choice?.text ?? '';
    if (text === '') return;
    const version = event.weight_version;
    if (version === undefined || version === null) {
      const detail = 'the engine stated no weight version for its text';
      return this.failRun('version-unknown', detail);
    }
    this.sink.appendData(new TextEncoder().encode(text), version, 1);
  }

  private acceptUsage(event: CompletionEvent): void {
    if (!event.usage) return;
    this.endReport = {
      finishReason: this.finishReason,
      promptTokens: event.usage.prompt_tokens,
      completionTokens: event.usage.completion_tokens,
      cachedTokens: event.usage.cached_tokens ?? 0,
    };
  }

  private failRun(
    kind: 'endpoint-failed' | 'version-unknown',
    detail: string,
  ): void {
    this.isFailed = true;
    const error = createError(kind, detail, {outcome: 'ran'});
    this.sink.fail({error, isCrash: false});
  }
}
