//! The ranked agents of a SYN, compared with the decisions of balancers.

use buckthornweir_forward::balancer::{Balancer, Decision, Loss};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::{OverloadPolicy, Plan};
use buckthornweir_forward::ranking::{Ranking, Verdict, rank};

use crate::common::{ms, peer, plan, syn};

const PORTS: u16 = 500;

/// The highest number of retransmissions, more than there are agents that accept new flows.
const RETRANSMISSIONS: u32 = 9;

/// Returns agents in three failure domains; those of domain "c" are out in [`plans`]. Some of the
/// others are cold, closed, full or have a low weight.
fn mixed_peers() -> Vec<Peer> {
    let domains = (1..=12).zip(["a", "b", "c"].into_iter().cycle());
    let mut peers: Vec<Peer> = domains.map(|(n, domain)| peer(n, domain, "desk")).collect();
    peers[0].cold = true;
    peers[1].accepts = false;
    peers[3].weight = 2;
    peers[4].weight = 5;
    peers[6].free = 0;
    peers
}

/// Returns a plan without the overload policy and one with it.
fn plans() -> [Plan; 2] {
    let mut plain = plan("desk");
    plain.domains_out.insert("c".into());
    let mut weighted = plain.clone();
    for service in weighted.services.values_mut() {
        service.overload = Some(OverloadPolicy::default());
    }
    [plain, weighted]
}

fn closed(peers: Vec<Peer>) -> Vec<Peer> {
    let close = |peer| Peer {
        accepts: false,
        ..peer
    };
    peers.into_iter().map(close).collect()
}

fn check_ranking(ranking: &Ranking<'_>, retransmissions: u32) {
    let is_chosen = |verdict| verdict == Verdict::Chosen;
    let chosen = ranking.candidates.iter().filter(|c| is_chosen(c.verdict));
    let chosen: Vec<_> = chosen.collect();
    assert_eq!(chosen.len(), 1);
    assert_eq!(chosen[0].peer.node, ranking.choice.peer.node);
    let is_open = |peer: &Peer| peer.accepts && peer.domain != "c";
    let open = ranking.candidates.iter().filter(|c| is_open(c.peer));
    let open = open.count();
    let (first, rest) = ranking.candidates.split_at(open);
    assert!(first.iter().all(|c| is_open(c.peer)));
    assert!(rest.iter().all(|c| !is_open(c.peer)));
    if open > 0 {
        let index = (retransmissions as usize).min(open - 1);
        assert!(is_chosen(first[index].verdict), "the next one in order");
    }
    for candidate in rest.iter().filter(|c| !is_chosen(c.verdict)) {
        let is_out = candidate.peer.domain == "c";
        let expected = [Verdict::Closed, Verdict::DomainOut][usize::from(is_out)];
        assert_eq!(candidate.verdict, expected);
    }
}

/// Guards against rankings whose choice differs from where a balancer sends the SYN.
#[test]
fn choice_is_the_agent_to_which_a_balancer_sends_the_syn() {
    for list in [mixed_peers(), closed(mixed_peers())] {
        let peers = Peers::new(list.clone());
        for (plan, near) in plans().iter().flat_map(|p| [(p, "a"), (p, "b"), (p, "c")]) {
            let mut balancer = Balancer::new(near);
            for port in 0..PORTS {
                let retransmissions = u32::from(port) % (RETRANSMISSIONS + 1);
                let segment = syn(port, retransmissions);
                let ranking = rank(plan, &peers, near, &segment).unwrap();
                assert_eq!(ranking.service, "desk");
                assert_eq!(ranking.candidates.len(), list.len());
                check_ranking(&ranking, retransmissions);
                let decision = balancer.route(ms(1_000), plan, &peers, &segment);
                let Decision::Forward { to, tag } = decision else {
                    panic!("{decision:?}");
                };
                assert_eq!(to, ranking.choice.peer.packet_addr, "{segment:?}");
                assert_eq!(tag.aside, ranking.choice.aside, "{segment:?}");
            }
        }
    }
}

#[test]
fn syn_that_is_not_forwarded_has_the_balancers_reason() {
    let none = Peers::default();
    let unknown = Plan::default();
    let [known, _] = plans();
    let mut no_route = known.clone();
    no_route.routes.clear();
    let cases = [
        (&unknown, Loss::NoPlan),
        (&no_route, Loss::NoRoute),
        (&known, Loss::NoAgent),
    ];
    for (plan, expected) in cases {
        let segment = syn(1, 0);
        assert_eq!(rank(plan, &none, "a", &segment), Err(expected));
        let decision = Balancer::new("a").route(ms(1_000), plan, &none, &segment);
        assert!(
            matches!(decision, Decision::Drop(loss) | Decision::Reset(loss) if loss == expected)
        );
    }
}
