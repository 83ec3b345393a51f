import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { fromManifests } from '@tillerstair/ctl';
import { checkConfig } from '@tillerstair/state';

const manifests = suite('manifests in the manner of the Gateway API');

const gateway = `apiVersion: gateway.networking.k8s.io/v1
kind: Gateway
metadata: { name: door }
spec:
  gatewayClassName: tillerstair
  listeners: [{ name: http, port: 80, protocol: HTTP }]
`;
const route = (
  more = '',
  rule = '',
  kind = 'turn',
): string => `apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: { name: chat, annotations: { tillerstair/kind: ${kind} } }
spec:
  parentRefs: [{ name: door }]
  ${more}
  rules:
    - matches: [{ path: { type: PathPrefix, value: /chat } }]
      backendRefs: [{ name: new-models, weight: 7 }, { name: old-models, weight: 3 }]
      ${rule}
`;

manifests('weights become shares, backends become pools, the file is whole', () => {
  const { text, findings } = fromManifests(
    [{ file: 'a.yaml', text: `${gateway}---\n${route()}` }],
    4,
  );
  assert.equal(findings, []);
  const { config } = checkConfig(text ?? '');
  assert.is(config?.base, 4);
  assert.equal(
    config?.pools.map((p) => `${p.name} ${p.kind}`),
    ['new-models model', 'old-models model'],
  );
  assert.equal(
    config?.routes[0]?.shares.map((s) => `${s.pool} ${s.share}`),
    ['new-models 7', 'old-models 3'],
  );
});

manifests('what is not supported is a finding with its place, all of them at once', () => {
  const cases: readonly (readonly [string, readonly string[]])[] = [
    [
      `${gateway}---\n${route('hostnames: [x.example]')}`,
      ['a.yaml document 2 HTTPRoute/chat spec', 'hostnames'],
    ],
    [
      `${gateway}---\n${route('', 'filters: [{ type: RequestMirror }]')}`,
      ['HTTPRoute/chat spec.rules[0]', 'filters'],
    ],
    [`${gateway}---\n${route('', '', 'stream')}`, ['metadata.annotations', 'tillerstair/kind']],
    [
      `${gateway}---\n${route().replace('PathPrefix', 'Exact')}`,
      ['spec.rules[0].matches[0].path.type'],
    ],
    [
      `${gateway}---\n${route().replace('weight: 7', 'weight: -1')}`,
      ['spec.rules[0].backendRefs[0].weight'],
    ],
    [`${gateway}---\n${route().replace('gateway.networking.k8s.io/v1', 'v1')}`, ['apiVersion']],
    [
      gateway.replace('protocol: HTTP', 'protocol: TLS') + `---\n${route()}`,
      ['Gateway/door spec.listeners[0].protocol', 'no Gateway door'],
    ],
    [route(), ['spec.parentRefs[0].name', 'no Gateway door']],
    [`${gateway}---\nkind: TCPRoute\nmetadata: { name: t }\n`, ['TCPRoute/t', 'not supported']],
    [`${gateway}---\nkind: [`, ['line', 'column']],
    [
      `${gateway}---\n${route()}---\n${route('', '', 'turn').replace('name: chat', 'name: again')}`,
      ['routes[1].match', 'already takes'],
    ],
    [`${gateway}---\n- 3\n`, ['a.yaml document 2']],
    [gateway, ['there is no HTTPRoute']],
  ];
  for (const [text, words] of cases) {
    const got = fromManifests([{ file: 'a.yaml', text }], 0);
    assert.is(got.text, undefined, text);
    const all = got.findings.map((f) => `${f.place}: ${f.text}`).join('\n');
    for (const w of words) assert.ok(all.includes(w), `${w} in: ${all}`);
  }
});

manifests.run();
