import type { Ms, Step } from '../../base/index.js';
import { adopt } from './adopt.js';
import { clearSuspect } from './clearsuspect.js';
import type { MeshChange } from './meshchange.js';
import type { MeshEffect } from './mesheffect.js';
import type { MeshEvent } from './meshevent.js';
import type { MeshState } from './meshstate.js';
import { moveStore } from './movestore.js';
import { onHostList } from './onhostlist.js';
import { onPullAnswered } from './onpullanswered.js';
import { onPullArrived } from './onpullarrived.js';
import { onPushArrived } from './onpusharrived.js';
import { onRevisionSeen } from './onrevisionseen.js';
import { onStoreListed } from './onstorelisted.js';
import { onTick } from './ontick.js';
import { onWatchEnded } from './onwatchended.js';
import { onWatchTold } from './onwatchtold.js';
import { promptPull } from './promptpull.js';
import { spread } from './spread.js';
import { storeFailed } from './storefailed.js';
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
    return spread(held, adopted, '', nowMs);
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
  storeFailed: (state, _event, nowMs) => moveStore(storeFailed(state, nowMs), 'FAILED'),
  watchTold: (state, { record }, nowMs) => onWatchTold(state, record, nowMs),
  watchEnded: (state, { compacted }, nowMs) => onWatchEnded(state, compacted, nowMs),
};

/** The core of the dissemination: what one process does about one event. */
export const stepMesh: Step<MeshState, MeshEvent, MeshEffect> = (state, event, nowMs) => {
  const handler = handlers[event.type] as (
    current: MeshState,
    happened: MeshEvent,
    atMs: Ms,
  ) => MeshChange;
  return handler(state, event, nowMs);
};
