import type { Ms, Step } from '../../base/index.js';
import { adopt } from './adopt.js';
import { clearSuspect } from './clearsuspect.js';
import type { MeshChange } from './meshchange.js';
import type { MeshEffect } from './mesheffect.js';
import type { MeshEvent } from './meshevent.js';
import type { MeshState } from './meshstate.js';
import { advanceStore } from './advancestore.js';
import { onHostList } from './onhostlist.js';
import { onPullAnswered } from './onpullanswered.js';
import { onPullArrived } from './onpullarrived.js';
import { onPushArrived } from './onpusharrived.js';
import { onRevisionSeen } from './onrevisionseen.js';
import { onStoreListed } from './onstorelisted.js';
import { onTick } from './ontick.js';
import { onWatchEnded } from './onwatchended.js';
import { onWatchUpdate } from './onwatchupdate.js';
import { promptPull } from './promptpull.js';
import { propagate } from './propagate.js';
import { scheduleStoreRetry } from './schedulestoreretry.js';
import { suspect } from './suspect.js';

type Handlers = {
  readonly [Type in MeshEvent['type']]: (
    state: MeshState,
    event: Extract<MeshEvent, { type: Type }>,
    nowMs: Ms,
  ) => MeshChange;
};

const DOCUMENTS = ['document/'];

const handlers: Handlers = {
  tick: (state, _event, nowMs) => onTick(state, nowMs),
  listening: (state, { address }) => ({
    state: { ...state, self: { ...state.self, address } },
    effects: [],
  }),
  hostList: onHostList,
  published(state, { record }, nowMs) {
    const { state: held, adopted } = adopt(state, [record], nowMs);
    return propagate(held, adopted, '', nowMs);
  },
  pushArrived: onPushArrived,
  pushAnswered(state, { to, revision }, nowMs) {
    const known = clearSuspect(state, to);
    const ahead = known.self.role === 'entry' && revision > known.revision;
    return ahead ? promptPull(known, to, DOCUMENTS, nowMs) : { state: known, effects: [] };
  },
  pushFailed: (state, { to, keys }, nowMs) => suspect(state, to, keys, nowMs),
  pullArrived: onPullArrived,
  pullAnswered: onPullAnswered,
  pullFailed(state, { from }, nowMs) {
    const { pull } = state;
    const inFlight = pull.inFlight?.to === from ? undefined : pull.inFlight;
    return suspect({ ...state, pull: { ...pull, inFlight } }, from, [], nowMs);
  },
  revisionSeen: onRevisionSeen,
  storeListed: onStoreListed,
  storeFailed: (state, _event, nowMs) => advanceStore(scheduleStoreRetry(state, nowMs), 'FAILED'),
  watchTold: (state, { record }, nowMs) => onWatchUpdate(state, record, nowMs),
  watchEnded: (state, { compacted }, nowMs) => onWatchEnded(state, compacted, nowMs),
};

/** Handles one event of the dissemination in one process. */
export const stepMesh: Step<MeshState, MeshEvent, MeshEffect> = (state, event, nowMs) => {
  const handler = handlers[event.type] as (
    current: MeshState,
    happened: MeshEvent,
    atMs: Ms,
  ) => MeshChange;
  return handler(state, event, nowMs);
};
