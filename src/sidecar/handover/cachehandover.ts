import { Metadata } from '@grpc/grpc-js';
import type { RequestId, UpstreamId } from '../../base/index.js';
import {
  idleHandOver,
  stepHandOver,
  type HandOverEffect,
  type HandOverEvent,
  type HandOverState,
  type Session,
} from '../../core/handover/index.js';
import { channelOptions } from '../../shell/rpc/index.js';
import { CacheImport, WorkClient, type CacheImportReply } from '../../wire/index.js';
import type { Context } from '../part/index.js';
import { findHolders } from './findholders.js';
import { handOverLimits } from './handoverlimits.js';

type Ports = Pick<
  Context,
  'settings' | 'engine' | 'clock' | 'log' | 'metrics' | 'board' | 'credentials'
>;
type Effect<Type> = Extract<HandOverEffect, { type: Type }>;

/** Sends the KV caches of streams that a planned stop cuts off to the engines of other sidecars. */
export class CacheHandOver {
  private state: HandOverState;

  private readonly settled = new Map<RequestId, (upstreams: readonly UpstreamId[]) => void>();

  private readonly caches = new Map<RequestId, Uint8Array>();

  private readonly addresses = new Map<UpstreamId, string>();

  private cancelTimeout = () => {};

  private readonly effects: {
    readonly [Type in HandOverEffect['type']]: (effect: Effect<Type>) => Promise<void> | void;
  } = {
    export: (effect) => this.export(effect),
    send: (effect) => this.send(effect),
    settle: (effect) => this.settle(effect),
  };

  constructor(private readonly ports: Ports) {
    this.state = idleHandOver(handOverLimits(ports.settings.cacheHandOverBytes));
  }

  /**
   * Starts the hand-over. Returns for each session a promise of the upstreams that hold its cache afterwards;
   * it resolves within the time limit.
   */
  begin(sessions: readonly Session[]): ReadonlyMap<string, Promise<readonly UpstreamId[]>> {
    const { engine, settings, clock } = this.ports;
    if (!engine || settings.cacheHandOverBytes === 0 || sessions.length === 0) return new Map();
    const ends = new Map<string, Promise<readonly UpstreamId[]>>();
    for (const { requestId } of sessions) {
      const end = new Promise<readonly UpstreamId[]>((resolve) => {
        this.settled.set(requestId, resolve);
      });
      ends.set(requestId, end);
    }
    this.step({ type: 'begin', sessions });
    this.cancelTimeout = clock.after(this.state.limits.timeoutMs, () =>
      this.step({ type: 'tick' }),
    );
    void this.find();
    return ends;
  }

  /** Ends the hand-over now: sessions that are not yet handed over are settled without one. */
  giveUp(): void {
    this.step({ type: 'give-up' });
  }

  private step(event: HandOverEvent): void {
    const { state, effects } = stepHandOver(this.state, event, this.ports.clock.nowMs());
    this.state = state;
    for (const effect of effects) {
      const act = this.effects[effect.type] as (
        handOverEffect: HandOverEffect,
      ) => Promise<void> | void;
      void act(effect);
    }
  }

  private async find(): Promise<void> {
    const holders = await findHolders(this.ports);
    for (const { upstream, sidecarAddress } of holders) {
      this.addresses.set(upstream, sidecarAddress);
    }
    this.step({ type: 'found', holders });
  }

  private async export({ requestId, limitBytes }: Effect<'export'>): Promise<void> {
    const cache = await this.ports.engine!.exportCache(requestId, limitBytes);
    if (cache.err) {
      this.ports.log.info('KV cache not exported', { requestId, type: cache.val.type });
      this.step({ type: 'failed', requestId });
      return;
    }
    this.caches.set(requestId, cache.val);
    this.step({ type: 'exported', requestId, sizeBytes: cache.val.length });
    // By now the cache has been sent, or it is no longer needed.
    this.caches.delete(requestId);
  }

  private async send({ requestId, upstream }: Effect<'send'>): Promise<void> {
    const { clock, credentials } = this.ports;
    const address = this.addresses.get(upstream)!;
    const client = new WorkClient(address, credentials.channel, channelOptions.client);
    const deadline = clock.wallMs() + Math.max(0, this.state.untilMs - clock.nowMs());
    const cacheImport = this.cacheImportOf(requestId);
    const taken = await new Promise<boolean>((resolve) => {
      client.importCache(
        cacheImport,
        new Metadata(),
        { deadline },
        (error, reply?: CacheImportReply) => resolve(!error && !reply?.refusal),
      );
    });
    client.close();
    this.step({ type: taken ? 'imported' : 'failed', requestId });
  }

  private cacheImportOf(requestId: RequestId): CacheImport {
    const { model = '', adapter = '' } = this.state.moving.get(requestId)?.session ?? {};
    const { service } = this.ports.settings;
    const cache = Buffer.from(this.caches.get(requestId) ?? []);
    this.caches.delete(requestId);
    return CacheImport.fromPartial({ service, requestId, model, adapter, cache });
  }

  private settle({ requestId, upstream }: Effect<'settle'>): void {
    this.caches.delete(requestId);
    const end = upstream === undefined ? 'not_handed_on' : 'handed_on';
    this.ports.metrics.count('cache.left', 1, { end });
    this.ports.log.info('KV cache hand-over ended', { requestId, to: upstream });
    this.settled.get(requestId)?.(upstream === undefined ? [] : [upstream]);
    this.settled.delete(requestId);
    if (this.settled.size === 0) this.cancelTimeout();
  }
}
